import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ConsensusRequest} from '@sycamorehead/consensus';
import {
  FakeGroup,
  FakeInstance,
  PausedClock,
} from '@sycamorehead/consensus/testing';
import type {JsonValue} from '@sycamorehead/schema';
import type {ControlPeers} from '../lib/ControlPeers.js';
import {FLEET_RAFT_TIMING} from '../lib/fleetRaftTiming.js';
import {FleetCommand, FleetState} from '../lib/FleetState.js';
import {GroupManager} from '../lib/GroupManager.js';
import type {LogMember} from '../lib/LogMember.js';

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5'];
const FAULTS = 2;
const SYNC_MS = 2;
/** Time after its return within which a member must be a voter, in milliseconds. */
const CATCH_UP_MS = 4_000;
const WAIT_MS = 20_000;
const LOSSY_RUNS = 10;
const VERSIONS = 3;
const DOCUMENT = 'x'.repeat(200_000);
const SNAPSHOT_BYTES = 512 * 1024;
const PACKET_BYTES = 1_400;
/** Time after which a lost packet is sent again, in milliseconds. */
const RESEND_MS = 200;

/** A network between the members. */
interface NetworkOptions {
  /** Rate of the link to each member. */
  readonly bytesPerMs: number;
  /** Share of the packets that are lost. */
  readonly lossRate: number;
  /** Whether requests for the identity of a member fail. */
  readonly isIdentityLost?: boolean;
}

type Receive = (request: ConsensusRequest) => Promise<never>;

/** Five members, of which the leader runs a GroupManager. */
class Scenario {
  readonly group: FakeGroup<FleetState>;
  private readonly links = new Map<string, Promise<void>>();

  constructor(
    readonly clock: PausedClock,
    private readonly network: NetworkOptions,
    private readonly random: () => number,
  ) {
    this.group = new FakeGroup({
      clock,
      random,
      createMachine: () => new FleetState(),
      node: {
        random,
        timing: FLEET_RAFT_TIMING,
        snapshotBytes: SNAPSHOT_BYTES,
      },
      syncMs: SYNC_MS,
    });
  }

  async start(): Promise<void> {
    await this.group.createGroup(NAMES);
    for (let version = 1; version <= VERSIONS; version += 1) {
      const command: FleetCommand = {
        type: 'put_configuration',
        version,
        document: DOCUMENT,
      };
      await this.group.propose(command as unknown as JsonValue);
    }
    await this.clock.advance(1_000);
    for (const name of NAMES) this.limitRequests(name);
  }

  /** Replaces two members' disks by empty ones and returns the time until both are voters. */
  async replaceTwo(): Promise<number> {
    const leader = await this.group.waitForLeader();
    const lost = NAMES.filter(name => name !== leader.name).slice(0, FAULTS);
    for (const name of lost) await this.group.resetDisk(name);
    await this.clock.advance(3_000);
    for (const name of lost) {
      await this.group.start(name);
      this.limitRequests(name);
    }
    const manager = this.createManager(leader);
    const startedAt = performance.now();
    void manager.run();
    const isReplaced = () => {
      const {members = []} = leader.node!.getStatus();
      const voters = members.filter(({role}) => role === 'voter');
      const ids = new Set(voters.map(({id}) => id));
      return (
        voters.length === NAMES.length &&
        NAMES.every(name => ids.has(this.group.get(name).id))
      );
    };
    await this.clock.advanceUntil(isReplaced, WAIT_MS, 20);
    manager.stop();
    return performance.now() - startedAt;
  }

  /** Delays each request to a member by the time that its bytes take on the link. */
  private limitRequests(name: string): void {
    const {endpoints} = this.group.network;
    const endpoint = endpoints.get(name)!;
    const receive = endpoint.receive.bind(endpoint) as Receive;
    endpoints.set(name, {
      getIdentity: () => {
        if (this.network.isIdentityLost) throw new Error('no identity');
        return endpoint.getIdentity();
      },
      receive: async request => {
        await this.transfer(name, request);
        return receive(request);
      },
    });
  }

  private async transfer(
    name: string,
    request: ConsensusRequest,
  ): Promise<void> {
    const {bytesPerMs} = this.network;
    const bytes = JSON.stringify(request).length;
    const packets = Math.ceil(bytes / PACKET_BYTES);
    let delayMs = bytes / bytesPerMs;
    for (let lost = this.countLost(packets); lost > 0;) {
      delayMs += RESEND_MS;
      lost = this.countLost(lost);
    }
    // Entries and snapshots have a link of their own.
    const isBulk = bytes > PACKET_BYTES;
    const earlier = isBulk ? this.links.get(name) : undefined;
    const transfer = Promise.resolve(earlier).then(
      () => new Promise<void>(resolve => setTimeout(resolve, delayMs)),
    );
    if (isBulk) this.links.set(name, transfer);
    return transfer;
  }

  private countLost(packets: number): number {
    const isLost = () => this.random() < this.network.lossRate;
    return Array.from({length: packets}, isLost).filter(Boolean).length;
  }

  private createManager(leader: FakeInstance<FleetState>): GroupManager {
    const node = leader.node!;
    const logMember = {
      isLeader: true,
      raftNode: node,
      requireNode: () => node,
    };
    const peers = {
      getSilenceMs: () => 0,
      listReachable: () =>
        NAMES.filter(name => name !== leader.name).map(name => ({
          identity: this.describeIdentity(name),
        })),
    };
    return new GroupManager({
      logMember: logMember as unknown as LogMember,
      peers: peers as unknown as ControlPeers,
      faults: FAULTS,
    });
  }

  private describeIdentity(name: string) {
    const {id, node} = this.group.get(name);
    const group = node!.getIdentity().group;
    return {
      address: name,
      instance: name,
      memberId: id,
      group,
      isStoring: true,
    };
  }
}

async function measureReplacement(
  network: NetworkOptions,
  random: () => number,
): Promise<number> {
  const clock = new PausedClock();
  const scenario = new Scenario(clock, network, random);
  try {
    await scenario.start();
    return await scenario.replaceTwo();
  } finally {
    scenario.group.stop();
    clock.restore();
  }
}

/** Creates a small generator of random numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

// Guards against a second lost member that waits for the whole catch-up of the first.
test('two members that lose their disks at once are voters again in time over slow links', async () => {
  const network = {bytesPerMs: 125, lossRate: 0};
  const ms = await measureReplacement(network, createRandom(1));
  assert.ok(ms < CATCH_UP_MS, `${Math.round(ms)} ms`);
});

test('two members that lose their disks at once are voters again in time over lossy links', async () => {
  const network = {bytesPerMs: 1_000, lossRate: 0.1};
  const times: number[] = [];
  for (let seed = 1; seed <= LOSSY_RUNS; seed += 1) {
    const ms = await measureReplacement(network, createRandom(seed));
    times.push(Math.round(ms));
  }
  const late = times.filter(ms => ms >= CATCH_UP_MS);
  assert.deepEqual(late, [], `of ${times.join(', ')} ms`);
});

// Guards against replacements that wait for one that cannot be asked again for the identity that it has reported.
test('members that have reported their identities are replaced in time if they do not answer a request for them', async () => {
  const network = {bytesPerMs: 1_000, lossRate: 0, isIdentityLost: true};
  const ms = await measureReplacement(network, createRandom(1));
  assert.ok(ms < CATCH_UP_MS, `${Math.round(ms)} ms`);
});
