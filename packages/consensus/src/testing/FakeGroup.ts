import type {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import type {Member} from '../lib/logTypes.js';
import {RaftNode, RaftNodeOptions} from '../lib/RaftNode.js';
import type {StateMachine} from '../lib/ReplicatedLog.js';
import {loadMemberId} from '../lib/storage/loadMemberId.js';
import {FakeDisk} from './FakeDisk.js';
import {FakeNetwork} from './FakeNetwork.js';
import type {PausedClock} from './PausedClock.js';

/** One instance of a FakeGroup. @internal */
export interface FakeInstance<Machine extends StateMachine> {
  readonly name: string;
  id: string;
  disk: FakeDisk;
  /** Absent while the instance is down. */
  node?: RaftNode;
  machine: Machine;
  failure?: SycamoreheadError;
}

/** Options of a FakeGroup. @internal */
export interface FakeGroupOptions<Machine extends StateMachine> {
  readonly clock: PausedClock;
  readonly random: () => number;
  readonly createMachine: (name: string) => Machine;
  readonly node?: Partial<RaftNodeOptions>;
  /** Called with each new node before it starts. */
  readonly onCreated?: (name: string, node: RaftNode) => void;
  readonly syncMs?: number;
}

/**
 * A group whose members run in one process, on a fake network and fake disks. The name of an
 * instance is also its address.
 *
 * @internal
 */
export class FakeGroup<Machine extends StateMachine> {
  readonly network: FakeNetwork;
  readonly instances = new Map<string, FakeInstance<Machine>>();

  constructor(private readonly options: FakeGroupOptions<Machine>) {
    this.network = new FakeNetwork(options.random);
  }

  /** Starts instances and creates a group of them. */
  async createGroup(names: readonly string[]): Promise<void> {
    for (const name of names) await this.add(name);
    const members = names.map((name): Member => {
      const {id} = this.get(name);
      return {id, instance: name, address: name, role: 'voter'};
    });
    const first = this.get(names[0] ?? '').node;
    await this.options.clock.settle(first!.createGroup('group', members));
    await this.waitForLeader();
  }

  /** Starts an instance with an empty disk that belongs to no group. */
  async add(name: string): Promise<void> {
    const disk = new FakeDisk(this.options.syncMs ?? 0);
    const id = await this.options.clock.settle(loadMemberId(disk, name));
    const machine = this.options.createMachine(name);
    this.instances.set(name, {name, id, disk, machine});
    await this.start(name);
  }

  get(name: string): FakeInstance<Machine> {
    const instance = this.instances.get(name);
    if (!instance) throw new Error(`no instance ${name}`);
    return instance;
  }

  /** Starts a stopped instance on its existing disk. */
  async start(name: string): Promise<void> {
    const instance = this.get(name);
    const {clock, random, createMachine, node} = this.options;
    const machine = createMachine(name);
    const started = new RaftNode({
      shard: 0,
      random,
      transport: this.network.createTransport(name),
      ...node,
      id: instance.id,
      disk: instance.disk,
      machine,
      onFailure: error => this.handleFailure(name, error),
    });
    this.options.onCreated?.(name, started);
    instance.machine = machine;
    instance.failure = undefined;
    await clock.settle(started.start());
    instance.node = started;
    this.network.endpoints.set(name, started);
  }

  /** Stops an instance as a power failure would. */
  abort(name: string): void {
    const instance = this.get(name);
    this.stopNode(instance);
    instance.disk = instance.disk.abort(this.options.random);
  }

  /** Stops an instance as the kill of its process would, which keeps data that was not synced. */
  abortProcess(name: string): void {
    const instance = this.get(name);
    this.stopNode(instance);
    instance.disk = instance.disk.abortProcess();
  }

  /** Crashes an instance and replaces its disk with an empty one. */
  async resetDisk(name: string): Promise<void> {
    const instance = this.get(name);
    this.abort(name);
    instance.disk = new FakeDisk(this.options.syncMs ?? 0);
    const {clock} = this.options;
    instance.id = await clock.settle(loadMemberId(instance.disk, name));
  }

  /** Finds the leader of the highest term. */
  findLeader(): FakeInstance<Machine> | undefined {
    const getTerm = (instance: FakeInstance<Machine>) =>
      instance.node?.getStatus().term ?? 0;
    return [...this.instances.values()]
      .filter(({node}) => node?.getStatus().role === 'leader')
      .sort((left, right) => getTerm(right) - getTerm(left))[0];
  }

  /** Advances the clock until a leader has been confirmed by a quorum. */
  async waitForLeader(limitMs = 20_000): Promise<FakeInstance<Machine>> {
    const {clock} = this.options;
    const end = performance.now() + limitMs;
    while (performance.now() < end) {
      const leader = this.findLeader();
      const isConfirmed =
        leader?.node &&
        (await clock.settle(leader.node.confirmLeadership()).then(
          () => true,
          () => false,
        ));
      if (leader && isConfirmed) return leader;
      await clock.advance(50);
    }
    throw new Error(`no leader after ${limitMs} ms`);
  }

  /** Proposes a command to the current leader. */
  async propose(command: JsonValue): Promise<JsonValue> {
    const {node} = await this.waitForLeader();
    return this.options.clock.settle(node!.propose(command));
  }

  /** Stops all instances without a leadership transfer. */
  stop(): void {
    for (const {node} of this.instances.values()) node?.abort();
  }

  private stopNode(instance: FakeInstance<Machine>): void {
    instance.node?.abort();
    instance.node = undefined;
    this.network.endpoints.delete(instance.name);
  }

  private handleFailure(name: string, error: SycamoreheadError): void {
    const instance = this.get(name);
    instance.failure = error;
    instance.node = undefined;
    this.network.endpoints.delete(name);
  }
}
