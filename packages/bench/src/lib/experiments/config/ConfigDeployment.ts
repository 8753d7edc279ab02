import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {ControlClient, ControlInstance} from '@sycamorehead/control';
import {ConfigurationManager} from '@sycamorehead/entry';
import {
  ControlApi,
  ReleaseNote,
  hashKey,
  parseReleaseNote,
} from '@sycamorehead/schema';
import type {PeerAddress} from '@sycamorehead/wire';
import {CountingRelay} from './CountingRelay.js';

const HOST = '127.0.0.1';
const PEER_KEY = 'bench-peer-key';
const CUSTOMERS = 10;
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 2;

/** How entries receive new revisions of the configuration. @internal */
export type UpdateMode = 'watch' | 'poll';

interface ControlMember {
  readonly name: string;
  readonly folder: string;
  instance: ControlInstance;
  address: PeerAddress;
}

/** Builds the first release note, with ten customers and two versions. @internal */
export function buildFirstNote(): ReleaseNote {
  const versions = ['v1', 'v2'].map(
    version =>
      `    - {model: m, version: ${version}, inputPrice: 1, outputPrice: 2, contextTokens: 8192, qualityPrior: 0.8}`,
  );
  const customers = Array.from({length: CUSTOMERS}, (unused, index) => {
    const key = hashKey(`key-${index}`);
    return `    - {customer: customer-${index}, keyHash: "${key}", models: [{model: m, versions: any}], limits: {requestsPerSecond: 100, tokensPerSecond: 10000}, qualityTarget: 0.5}`;
  });
  return parseReleaseNote(
    [
      'number: 1\nfollows: 0\nadd:\n  versions:',
      ...versions,
      '  customers:',
      ...customers,
    ].join('\n'),
  );
}

/** Builds the next release note, which changes one customer. @internal */
export function buildNextNote(follows: number): ReleaseNote {
  const qualityTarget = ((follows % 90) + 5) / 100;
  return parseReleaseNote(
    `number: ${follows + 1}\nfollows: ${follows}\nchange:\n  customers:\n    - {customer: customer-${follows % CUSTOMERS}, qualityTarget: ${qualityTarget}}\n`,
  );
}

/**
 * Control instances that store their state on disk and the configuration managers of entries, in
 * one process. The managers connect to control over TCP through relays that count bytes.
 *
 * @internal
 */
export class ConfigDeployment {
  readonly managers: ConfigurationManager[] = [];
  readonly controls: ControlMember[] = [];
  noteNumber = 0;
  private readonly relays: CountingRelay[] = [];
  private readonly clients: ControlClient[] = [];
  private folder = '';

  /** Starts the control instances and publishes the first release note. */
  async start(controlCount: number): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), 'sycamorehead-config-'));
    for (let index = 1; index <= controlCount; index++) {
      const name = `c${index}`;
      const folder = path.join(this.folder, name);
      const instance = createInstance(name, folder, 0);
      const {peerPort} = await instance.start();
      const address = {host: HOST, port: peerPort};
      this.controls.push({name, folder, instance, address});
    }
    const addresses = this.controls.map(
      ({name, address}) => [name, `${HOST}:${address.port}`] as const,
    );
    await this.controls[0]!.instance.createGroup(
      Object.fromEntries(addresses),
      START_TIMEOUT_MS,
    );
    await this.publishNext();
  }

  /** Starts configuration managers and waits until all have the newest revision. */
  async startEntries(count: number, mode: UpdateMode): Promise<void> {
    const instances: Record<string, PeerAddress> = {};
    for (const {name, address} of this.controls) {
      const relay = new CountingRelay(address);
      this.relays.push(relay);
      instances[name] = await relay.start();
    }
    for (let index = 1; index <= count; index++) {
      const name = `e${index}`;
      const client = new ControlClient({name, instances, peerKey: PEER_KEY});
      this.clients.push(client);
      const api = mode === 'watch' ? client : createPollingApi(client);
      const manager = new ConfigurationManager(name, api);
      manager.start();
      this.managers.push(manager);
    }
    await this.waitUntil(() => this.isAppliedOnAllEntries(this.noteNumber));
  }

  /** Stops the configuration managers, their clients and the relays. */
  async stopEntries(): Promise<void> {
    for (const manager of this.managers) manager.stop();
    for (const client of this.clients) client.stop();
    for (const relay of this.relays) await relay.stop();
    this.managers.length = 0;
    this.clients.length = 0;
    this.relays.length = 0;
  }

  /** Stops entries and control instances and deletes the data folders. */
  async stop(): Promise<void> {
    await this.stopEntries();
    for (const {instance} of this.controls) await instance.abort();
    await rm(this.folder, {recursive: true, force: true});
  }

  /** Returns the bytes that entries and control have exchanged. */
  countBytes(): number {
    return this.relays.reduce((sum, relay) => sum + relay.bytes, 0);
  }

  /** Publishes the next release note on the current leader and returns its revision. */
  async publishNext(): Promise<number> {
    const note =
      this.noteNumber === 0 ? buildFirstNote() : buildNextNote(this.noteNumber);
    const {number, revision} = await this.runOnLeader(leader =>
      leader.node.publish(note),
    );
    this.noteNumber = number;
    return revision;
  }

  /** Waits until control reports a revision in force and every entry routes by it. */
  async waitInForce(revision: number): Promise<void> {
    for (;;) {
      const report = await this.runOnLeader(leader =>
        leader.node.readInForce(),
      );
      const isReported = report.inForceRevision >= revision;
      if (isReported && this.isAppliedOnAllEntries(revision)) return;
      await sleep(POLL_MS);
    }
  }

  /** Runs work on the leader and retries it if it fails, for example after a leader change. */
  async runOnLeader<Result>(
    work: (instance: ControlInstance) => Promise<Result>,
  ): Promise<Result> {
    const deadline = performance.now() + START_TIMEOUT_MS;
    for (;;) {
      const leader = this.findLeader();
      try {
        if (leader) return await work(leader.instance);
      } catch (error) {
        if (performance.now() > deadline) throw error;
      }
      if (performance.now() > deadline)
        throw new Error(`no control leader within ${START_TIMEOUT_MS} ms`);
      await sleep(POLL_MS);
    }
  }

  /** Returns the current leader, if there is one. */
  findLeader(): ControlMember | undefined {
    return this.controls.find(
      ({instance}) => instance.node.readStatus().role === 'leader',
    );
  }

  /** Stops a control instance without a graceful shutdown, as SIGKILL does. */
  async abort(control: ControlMember): Promise<void> {
    await control.instance.abort();
  }

  /** Restarts a stopped control instance from its data folder; returns the duration in ms. */
  async restart(control: ControlMember): Promise<number> {
    const startedAt = performance.now();
    const {name, folder, address} = control;
    control.instance = createInstance(name, folder, address.port);
    await control.instance.start();
    return performance.now() - startedAt;
  }

  private isAppliedOnAllEntries(revision: number): boolean {
    return this.managers.every(manager => {
      const status = manager.getStatus();
      return status.leaseLeftMs > 0 && status.revision >= revision;
    });
  }

  private async waitUntil(condition: () => boolean): Promise<void> {
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (!condition()) {
      if (performance.now() > deadline)
        throw new Error(
          `entries not at the newest revision within ${START_TIMEOUT_MS} ms`,
        );
      await sleep(POLL_MS);
    }
  }
}

function createInstance(
  name: string,
  dataFolder: string,
  peerPort: number,
): ControlInstance {
  return new ControlInstance({
    name,
    host: HOST,
    port: 0,
    peerPort,
    peerKey: PEER_KEY,
    operatorToken: 'bench-operator-token',
    dataFolder,
    onFailure: error => {
      throw error;
    },
  });
}

/** Creates the baseline's API: no notification of new revisions, and complete configurations. */
function createPollingApi(client: ControlClient): ControlApi {
  return {
    renewLease: request => client.renewLease({...request, needsWhole: true}),
    watchRevision: () => new Promise(() => {}),
  } as Partial<ControlApi> as ControlApi;
}

/** Resolves after a time in milliseconds. @internal */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
