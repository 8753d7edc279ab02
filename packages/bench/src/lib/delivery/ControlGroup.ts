import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {ControlInstance, ControlNode} from '@sycamorehead/control';
import type {PeerAddress} from '@sycamorehead/wire';

const HOST = '127.0.0.1';
const START_TIMEOUT_MS = 15_000;
const RETRY_MS = 50;

/** Credentials of a control group. @internal */
export interface ControlGroupKeys {
  readonly peerKey: string;
  readonly operatorToken: string;
}

/** A group of control instances that store their state on disk, for experiments. @internal */
export class ControlGroup {
  /** Peer addresses by instance name; a restart does not change them. */
  readonly addresses: Record<string, PeerAddress> = {};
  private readonly instances: ControlInstance[] = [];
  private dataFolder = '';

  constructor(
    private readonly keys: ControlGroupKeys,
    private readonly size = 3,
  ) {}

  /** Starts the instances and creates their group. */
  async start(): Promise<void> {
    this.dataFolder = await mkdtemp(path.join(tmpdir(), 'sycamorehead-'));
    const addresses: Record<string, string> = {};
    for (let index = 0; index < this.size; index++) {
      const instance = this.createInstance(index, 0);
      const {peerPort} = await instance.start();
      this.instances.push(instance);
      this.addresses[getName(index)] = {host: HOST, port: peerPort};
      addresses[getName(index)] = `${HOST}:${peerPort}`;
    }
    await this.instances[0]?.createGroup(addresses, START_TIMEOUT_MS);
  }

  /** Stops one instance gracefully, as SIGTERM does, and restarts it from its data folder. */
  async restart(index: number): Promise<void> {
    await this.instances[index]?.stop();
    const port = this.addresses[getName(index)]?.port ?? 0;
    const instance = this.createInstance(index, port);
    await instance.start();
    this.instances[index] = instance;
  }

  /** Calls the leader: tries the instances in turn until the call succeeds on one of them. */
  async callLeader<Result>(
    call: (node: ControlNode) => Promise<Result>,
  ): Promise<Result> {
    const deadline = performance.now() + START_TIMEOUT_MS;
    for (let attempt = 0; ; attempt++) {
      const instance = this.instances[attempt % this.instances.length]!;
      try {
        return await call(instance.node);
      } catch (error) {
        if (performance.now() > deadline) throw error;
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
      }
    }
  }

  /** Stops every instance and deletes the data folders. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map(instance => instance.stop()));
    await rm(this.dataFolder, {recursive: true, force: true});
  }

  private createInstance(index: number, peerPort: number): ControlInstance {
    return new ControlInstance({
      ...this.keys,
      name: getName(index),
      host: HOST,
      port: 0,
      peerPort,
      dataFolder: path.join(this.dataFolder, getName(index)),
      onFailure: error => {
        throw error;
      },
    });
  }
}

function getName(index: number): string {
  return `control-${index + 1}`;
}
