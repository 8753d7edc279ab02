import {
  ConsensusTransport,
  LinkPool,
  RaftNode,
  createConsensusMethods,
} from '@sycamorehead/consensus';
import {
  FakeDisk,
  FakeNetwork,
  PausedClock,
} from '@sycamorehead/consensus/testing';
import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {ControlPeers} from '../lib/ControlPeers.js';
import {FleetCommands} from '../lib/FleetCommands.js';
import {FLEET_METHODS, SyncReply, SyncRequest} from '../lib/fleetMessages.js';
import {FLEET_RAFT_TIMING} from '../lib/fleetRaftTiming.js';
import {GroupManager} from '../lib/GroupManager.js';
import {LogMember, buildFirstMember} from '../lib/LogMember.js';
import {decodeTestConfiguration} from './decodeTestConfiguration.js';

const PORT = 7_340;
const FAULTS = 2;
const INSTANCES = ['c1', 'c2', 'c3', 'c4', 'c5'] as const;
const SEEDS = ['c1', 'c2', 'c3'] as const;
/** Time after which an operator's call is given up, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;
/** Pause of the operator between two calls, in milliseconds. */
const RETRY_MS = 100;

type Methods = Record<string, (params: never) => unknown>;

/** One control instance of a FullDiskGroup. */
export interface DiskInstance {
  readonly name: string;
  readonly disk: FakeDisk;
  readonly logMember: LogMember;
  readonly peers: ControlPeers;
  readonly manager: GroupManager;
  readonly commands: FleetCommands;
  /** The number of elections that it has won. */
  readonly elections: {count: number};
}

/** A change with the time until it was acknowledged, and what it was answered until then. */
export interface ChangeOutcome {
  readonly version: number;
  readonly ms: number | undefined;
  readonly refusals: readonly string[];
}

/** Five control instances in one process, with the log, its group and the commands as in the product, on fake disks. */
export class FullDiskGroup {
  readonly instances: DiskInstance[] = [];
  readonly network: FakeNetwork;
  private readonly methods = new Map<string, Methods>();
  private version = 0;
  private operatorTurn = 0;

  constructor(
    readonly clock: PausedClock,
    random: () => number,
    private readonly syncMs = 2,
  ) {
    this.network = new FakeNetwork(random);
    for (const name of INSTANCES) this.instances.push(this.build(name));
  }

  /** Starts all instances with empty disks and returns once the group is whole. */
  async start(): Promise<void> {
    this.startMembers();
    await this.waitUntilWhole();
  }

  /** Starts all instances with empty disks. */
  startMembers(): void {
    const members = SEEDS.map(name => buildFirstMember(name, getAddress(name)));
    const firstGroup = {group: 'first', members};
    for (const {name, logMember, peers, manager} of this.instances) {
      peers.start();
      void manager.run();
      const isSeed = (SEEDS as readonly string[]).includes(name);
      void logMember.start(isSeed ? firstGroup : undefined);
    }
  }

  stop(): void {
    for (const {logMember, peers, manager} of this.instances) {
      manager.stop();
      peers.stop();
      logMember.raftNode?.abort();
    }
  }

  get(name: string): DiskInstance {
    const instance = this.instances.find(known => known.name === name);
    if (!instance) throw new Error(`no instance ${name}`);
    return instance;
  }

  findLeader(): DiskInstance | undefined {
    return this.instances.find(({logMember}) => logMember.isLeader);
  }

  /** Returns whether all five instances are voters, in the eyes of the leader, under their present ids. */
  isWhole(): boolean {
    const status = this.findLeader()?.logMember.raftNode?.getStatus();
    const voters = (status?.members ?? []).filter(({role}) => role === 'voter');
    return (
      status?.members?.length === INSTANCES.length &&
      this.listIds().every(id => voters.some(voter => voter.id === id))
    );
  }

  /** Lists the present member id of each instance; undefined while its log is not open. */
  listIds(): Array<string | undefined> {
    return this.instances.map(
      ({logMember}) => logMember.raftNode?.getIdentity().id,
    );
  }

  async waitUntilWhole(limitMs = 10_000): Promise<void> {
    const isWhole = await this.clock.advanceUntil(
      () => this.isWhole(),
      limitMs,
    );
    if (!isWhole) throw new Error(`not whole: ${this.describe()}`);
  }

  /** Sends a new configuration to one instance after another until one acknowledges it. */
  async change(limitMs: number, bytes = 2_000): Promise<ChangeOutcome> {
    this.version += 1;
    const {version} = this;
    const document = {version, text: 'x'.repeat(bytes)};
    const startedAt = performance.now();
    const refusals: string[] = [];
    while (performance.now() - startedAt < limitMs) {
      const instance = this.instances[this.operatorTurn++ % INSTANCES.length];
      try {
        await this.clock.settle(this.call(instance!, document));
        const ms = performance.now() - startedAt;
        return {version, ms, refusals};
      } catch (error) {
        refusals.push(`${instance!.name}: ${String(error)}`);
      }
      await this.clock.advance(RETRY_MS);
    }
    return {version, ms: undefined, refusals};
  }

  describe(): string {
    const lines = this.instances.map(({name, logMember, disk}) => {
      const status = logMember.raftNode?.getStatus();
      const members = status?.members
        ?.map(({id, role}) => `${id}:${role}`)
        .join(' ');
      return `${name} ${status?.id} ${status?.role} term ${status?.term} last ${status?.lastIndex} commit ${status?.commitIndex} version ${logMember.state.configuration.version} writers ${disk.openFiles}/${disk.maxOpenFiles} members ${members}`;
    });
    return `\n${lines.join('\n')}`;
  }

  private call({commands}: DiskInstance, document: JsonValue): Promise<void> {
    return new Promise((resolve, reject) => {
      const expire = () =>
        reject(new SycamoreheadError('timeout', 'no answer'));
      const timer = setTimeout(expire, CALL_TIMEOUT_MS);
      commands
        .putConfiguration(document)
        .then(resolve, reject)
        .finally(() => clearTimeout(timer));
    });
  }

  private build(name: string): DiskInstance {
    const address = getAddress(name);
    const disk = new FakeDisk(this.syncMs);
    const links = this.createLinks(address);
    const elections = {count: 0};
    const logMember = new LogMember({
      instance: name,
      createDisk: () => disk,
      transport: this.createTransport(address),
      timing: FLEET_RAFT_TIMING,
      onChange: () => {},
      onLeading: () => (elections.count += 1),
    });
    const peers: ControlPeers = new ControlPeers({
      links,
      seeds: SEEDS.map(getAddress),
      getIdentity: () => describeIdentity(name, logMember),
      listRegistrations: () => [],
      onRemoved: () => void logMember.reset(),
    });
    const manager = new GroupManager({logMember, peers, faults: FAULTS});
    const commands = new FleetCommands({
      logMember,
      groupManager: manager,
      links,
      peerPort: PORT,
      decodeConfiguration: decodeTestConfiguration,
      isKnownDataCentre: () => true,
    });
    this.methods.set(address, {
      ...createConsensusMethods((): RaftNode[] => [logMember.requireNode()]),
      ...commands.createMethods(),
      [FLEET_METHODS.sync]: async (
        request: SyncRequest,
      ): Promise<SyncReply> => {
        peers.recordIdentity(request.from);
        peers.addAddresses(request.peers);
        return {
          from: describeIdentity(name, logMember),
          peers: peers.listAddresses(),
          isRemoved: await manager.isRemoved(request.from),
        };
      },
    });
    return {name, disk, logMember, peers, manager, commands, elections};
  }

  private createLinks(from: string): LinkPool {
    const request = (
      to: string,
      method: string,
      params: unknown,
      timeoutMs: number,
    ) =>
      this.network.call(from, to, timeoutMs, async () => {
        const serve = this.methods.get(to)?.[method];
        if (!serve) throw new SycamoreheadError('not_found', method);
        return serve(params as never);
      });
    return {request} as unknown as LinkPool;
  }

  private createTransport(from: string): ConsensusTransport {
    const links = this.createLinks(from);
    return {
      call: (to, request, timeoutMs) =>
        links.request(to, 'consensus.request', request, timeoutMs),
      readIdentity: (to, shard) =>
        links.request(to, 'consensus.identify', {shard}, CALL_TIMEOUT_MS),
    };
  }
}

function getAddress(name: string): string {
  return `${name}:${PORT}`;
}

function describeIdentity(name: string, logMember: LogMember) {
  const identity = logMember.raftNode?.getIdentity();
  return {
    address: getAddress(name),
    instance: name,
    incarnation: name,
    memberId: identity?.id ?? '',
    group: identity?.group ?? '',
    isStoring: true,
  };
}
