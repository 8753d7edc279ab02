import {Announcement, SycamoreheadError} from '@sycamorehead/schema';
import {TlsMaterial, createLogger} from '@sycamorehead/telemetry';
import {MethodTable, PeerAddress, PeerLink} from '@sycamorehead/wire';
import type {BackendServerDirectory} from './BackendServerDirectory.js';
import {chooseSubset} from './chooseSubset.js';
import {
  EncodedHeartbeat,
  decodeHeartbeat,
  decodeLoadLevel,
  encodeHeartbeat,
} from './heartbeats.js';
import {InterestChange, InterestList} from './InterestList.js';
import {InterestMessage, PeerInterests} from './PeerInterests.js';
import {PeerLinks, PeerSet} from './PeerLinks.js';
import {FactDelta, digestText, parseFactDelta} from './serverFacts.js';
import {waitForSuccesses} from './waitForSuccesses.js';

const log = createLogger('membership');

const HEARTBEAT_MS = 1_000;
/** Time for which changes are gathered into one message, in milliseconds. */
const BATCH_MS = 50;
/** Time without a heartbeat after which a link is closed and dialled anew, in milliseconds. */
const LINK_SILENCE_MS = 3_500;
/** Peers that hold a `leaving` before it is acknowledged; the hearer may die at once. */
const LEAVING_PEERS = 2;
/** Longest wait for them, in milliseconds. */
const LEAVING_WAIT_MS = 1_000;
const FACTS_METHOD = 'membership.facts';
/** Short, since it is most of what entries send. */
const HEARTBEAT_METHOD = 'hb';
const INTEREST_METHOD = 'membership.interest';
const SYNC_METHOD = 'membership.sync';

/** Settings of a PeerGossip. @public */
export interface PeerGossipOptions {
  /** Own name. */
  readonly name: string;
  /** Entries to join through. */
  readonly peers: readonly PeerAddress[];
  readonly peerKey: string;
  readonly peerTls?: TlsMaterial;
  readonly directory: BackendServerDirectory;
  /** Takes the place of real links, for tests. */
  readonly peerSet?: PeerSet;
}

/** Answer to a backend server's announcement. @public */
export interface AnnouncementAnswer {
  readonly accepted: boolean;
  /** Newest generation and sequence known, so that a refused server sees what to exceed. */
  readonly generation: number;
  readonly sequence: number;
}

interface SyncAnswer {
  readonly digests: readonly number[];
  readonly facts: readonly FactDelta[];
}

/** The sender's digest, empty where it is the one last sent, and the encoded heartbeat. */
type HeartbeatMessage = readonly [
  digest: string,
  ...heartbeat: EncodedHeartbeat,
];

/** What is kept of a link's heartbeats. */
interface HeartbeatRecord {
  /** Monotonic time of the last heartbeat received. */
  heardAt: number;
  sentDigest: string;
  theirDigest: string;
  /** Both digests where they differed at the last heartbeat. */
  mismatch: string;
}

/**
 * Entries tell each other of backend servers: changes of facts at once and in batches, liveness
 * and load as one heartbeat a second with a bit for each server that the peer holds, and whole
 * buckets of facts where digests go on differing.
 *
 * @public
 */
export class PeerGossip {
  private readonly directory: BackendServerDirectory;
  private readonly links: PeerLinks | undefined;
  private readonly peerSet: PeerSet;
  private readonly interests = new InterestList();
  private readonly peerInterests = new PeerInterests();
  private readonly heard = new Set<string>();
  /** Servers to be told of, with the peer that told them here. */
  private readonly pending = new Map<string, PeerLink | undefined>();
  /** Generation of each server whose `leaving` enough peers hold. */
  private readonly confirmedLeaving = new Map<string, number>();
  private readonly heartbeats = new WeakMap<PeerLink, HeartbeatRecord>();
  private readonly syncing = new WeakSet<PeerLink>();
  private factDigest = {revision: -1, digest: ''};
  private heartbeatCount = 0;
  private subsetBasis = '';
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private flushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerGossipOptions) {
    this.directory = options.directory;
    if (options.peerSet) {
      this.peerSet = options.peerSet;
      return;
    }
    this.links = new PeerLinks({
      name: options.name,
      seeds: options.peers,
      peerKey: options.peerKey,
      peerTls: options.peerTls,
      onLinked: (name, link) => this.handleLinked(name, link),
      getMethods: () => this.getMethods(),
    });
    this.peerSet = this.links;
  }

  // Commands.

  /** Joins the other entries; `address` is where they reach this one. */
  start(address: PeerAddress): void {
    this.links?.start(address);
    this.heartbeatTimer = setInterval(
      () => this.sendHeartbeats(),
      HEARTBEAT_MS,
    );
    this.heartbeatTimer.unref();
  }

  /** Leaves the other entries. */
  stop(): void {
    clearInterval(this.heartbeatTimer);
    clearTimeout(this.flushTimer);
    this.links?.stop();
  }

  /**
   * Takes an announcement from a backend server. Returns for `leaving` only once enough peers
   * hold it.
   *
   * @throws SycamoreheadError `timeout` where too few peers confirmed a `leaving` in time.
   * @example
   * ```ts
   * const {accepted} = await gossip.receive(announcement);
   * ```
   */
  async receive(announcement: Announcement): Promise<AnnouncementAnswer> {
    const {id, state} = announcement;
    const result = this.directory.receive(announcement);
    const known = this.directory.find(id)?.announcement ?? announcement;
    const answer = {
      accepted: result !== 'stale',
      generation: known.generation,
      sequence: known.sequence,
    };
    if (!answer.accepted) return answer;
    this.heard.add(id);
    if (state === 'leaving') await this.confirmLeaving(announcement);
    else if (result === 'changed') this.announce(id);
    return answer;
  }

  /** Tells a new peer what is wanted from it, and compares views. */
  handleLinked(name: string, link: PeerLink): void {
    this.sendInterests(link, true, this.interests.list());
    // One of the two compares; what the other lacks is pushed to it.
    if (this.options.name < name) void this.sync(link);
  }

  /** The methods that this entry serves to its peers. */
  getMethods(): MethodTable {
    return {
      ...this.links?.getMethods(),
      [FACTS_METHOD]: (deltas: readonly unknown[], link: PeerLink) =>
        this.mergeFacts(deltas, link),
      [HEARTBEAT_METHOD]: (message: HeartbeatMessage, link: PeerLink) =>
        this.receiveHeartbeat(message, link),
      [INTEREST_METHOD]: (message: InterestMessage) =>
        this.peerInterests.receive(message, this.peerSet.listEntries()),
      [SYNC_METHOD]: (digests: readonly number[]) => this.answerSync(digests),
    };
  }

  // Queries.

  /** Counts the open links to peers. */
  countLinks(): number {
    return this.peerSet.listLinks().size;
  }

  /** Sends the heartbeat, declares silent servers gone, and chooses the subset anew. */
  private sendHeartbeats(): void {
    this.links?.expire();
    for (const id of this.directory.expire()) {
      this.confirmedLeaving.delete(id);
      this.announce(id);
    }
    this.updateSubset();
    const digest = this.digestFacts();
    const heard = this.listHeard();
    this.heartbeatCount += 1;
    // Engines report load with a lag of their own; every other heartbeat is soon enough.
    const withLevels = this.heartbeatCount % 2 === 0;
    for (const [name, link] of this.peerSet.listLinks()) {
      const record = this.getHeartbeatRecord(link);
      if (performance.now() - record.heardAt > LINK_SILENCE_MS) {
        link.close('no heartbeat');
        continue;
      }
      const sent = record.sentDigest === digest ? '' : digest;
      record.sentDigest = digest;
      const wanted = this.peerInterests.filterByInterest(name, heard);
      const heartbeat = encodeHeartbeat(wanted, withLevels);
      link.notify(HEARTBEAT_METHOD, [sent, ...heartbeat]);
    }
    this.heard.clear();
  }

  private announce(id: string, source?: PeerLink): void {
    this.pending.set(id, source);
    if (this.flushTimer) return;
    this.flushTimer = setTimeout(() => this.flush(), BATCH_MS);
    this.flushTimer.unref();
  }

  private flush(): void {
    this.flushTimer = undefined;
    for (const link of this.peerSet.listLinks().values()) {
      const ids = [...this.pending.keys()].filter(
        id => this.pending.get(id) !== link,
      );
      if (ids.length > 0) link.notify(FACTS_METHOD, this.describeServers(ids));
    }
    this.pending.clear();
  }

  private async confirmLeaving({id, generation}: Announcement): Promise<void> {
    if (this.confirmedLeaving.get(id) === generation) return;
    const known = Math.max(
      this.peerSet.listEntries().length - 1,
      this.options.peers.length,
    );
    const needed = Math.min(LEAVING_PEERS, known);
    const calls = [...this.peerSet.listLinks().values()].map(link =>
      link.request(FACTS_METHOD, this.describeServers([id]), LEAVING_WAIT_MS),
    );
    if (!(await waitForSuccesses(calls, needed))) {
      throw new SycamoreheadError(
        'timeout',
        `leaving: fewer than ${needed} entries confirmed it; announce it again`,
      );
    }
    this.confirmedLeaving.set(id, generation);
    log('leaving_confirmed', {id, peers: needed});
  }

  private mergeFacts(deltas: readonly unknown[], link: PeerLink): void {
    if (!Array.isArray(deltas)) {
      throw new SycamoreheadError('malformed_request', 'expected fact deltas');
    }
    for (const given of deltas) {
      const delta = parseFactDelta(given);
      if (this.directory.merge(delta)) this.forward(delta, link);
    }
  }

  /** Tells the peers; the one that told it too, where this entry knows better. */
  private forward(delta: FactDelta, source: PeerLink): void {
    const {id, sequence} = delta.announcement;
    const own = this.directory.describe(id);
    const isTheirs = own?.announcement.sequence === sequence;
    this.announce(id, isTheirs ? source : undefined);
  }

  private getHeartbeatRecord(link: PeerLink): HeartbeatRecord {
    const known = this.heartbeats.get(link);
    if (known) return known;
    const heardAt = performance.now();
    const record = {heardAt, sentDigest: '', theirDigest: '', mismatch: ''};
    this.heartbeats.set(link, record);
    return record;
  }

  private receiveHeartbeat(
    [digest, ...heartbeat]: HeartbeatMessage,
    link: PeerLink,
  ): void {
    const record = this.getHeartbeatRecord(link);
    record.heardAt = performance.now();
    record.theirDigest = digest || record.theirDigest;
    for (const {position: place, level} of decodeHeartbeat(heartbeat)) {
      const id = this.interests.get(place);
      if (!id) continue;
      const slots = this.directory.find(id)?.announcement.slots ?? 1;
      this.directory.markAlive(id, decodeLoadLevel(level, slots, HEARTBEAT_MS));
    }
    this.compareDigests(record, link);
  }

  /** Syncs where the views differed at two heartbeats in a row and neither has moved. */
  private compareDigests(record: HeartbeatRecord, link: PeerLink): void {
    const ours = this.digestFacts();
    const {theirDigest, mismatch} = record;
    const differs = theirDigest !== ours;
    record.mismatch = differs ? `${theirDigest}/${ours}` : '';
    if (differs && record.mismatch === mismatch) void this.sync(link);
  }

  /** Takes the peer's facts where the views differ, and tells it those that it lacks. */
  private async sync(link: PeerLink): Promise<void> {
    if (this.syncing.has(link)) return;
    this.syncing.add(link);
    try {
      const digests = this.directory.computeDigests();
      const theirs = await link.request<SyncAnswer>(SYNC_METHOD, digests);
      const own = this.describeServers(
        this.directory.listDiffering(theirs.digests),
      );
      this.mergeFacts(theirs.facts, link);
      const told = new Set(theirs.facts.map(describeOrder));
      const lacking = own.filter(delta => !told.has(describeOrder(delta)));
      if (lacking.length > 0) link.notify(FACTS_METHOD, lacking);
      const taken = theirs.facts.length;
      log('synced', {peer: link.peerName, taken, told: lacking.length});
    } catch (error) {
      log('sync_failed', {peer: link.peerName, error: String(error)});
    } finally {
      this.syncing.delete(link);
    }
  }

  private answerSync(digests: readonly number[]): SyncAnswer {
    const ids = this.directory.listDiffering(digests);
    return {
      digests: this.directory.computeDigests(),
      facts: this.describeServers(ids),
    };
  }

  private updateSubset(): void {
    const entries = this.peerSet.listEntries();
    const basis = `${this.directory.factRevision}/${entries.join(',')}`;
    if (basis === this.subsetBasis) return;
    this.subsetBasis = basis;
    const servers = this.directory
      .listAll()
      .map(({announcement}) => announcement);
    const subset = chooseSubset(this.options.name, entries, servers);
    this.directory.track(subset);
    const changes = this.interests.update(subset);
    if (changes.length === 0) return;
    for (const link of this.peerSet.listLinks().values()) {
      this.sendInterests(link, false, changes);
    }
  }

  private sendInterests(
    link: PeerLink,
    full: boolean,
    changes: readonly InterestChange[],
  ): void {
    const from = this.options.name;
    link.notify(INTEREST_METHOD, {from, full, changes});
  }

  private listHeard(): Announcement[] {
    return [...this.heard]
      .map(id => this.directory.find(id)?.announcement)
      .filter(announcement => announcement !== undefined);
  }

  private describeServers(ids: readonly string[]): FactDelta[] {
    return ids
      .map(id => this.directory.describe(id))
      .filter(delta => delta !== undefined);
  }

  private digestFacts(): string {
    const {factRevision} = this.directory;
    if (this.factDigest.revision !== factRevision) {
      const digest = digestText(
        this.directory.computeDigests().join(','),
      ).toString(36);
      this.factDigest = {revision: factRevision, digest};
    }
    return this.factDigest.digest;
  }
}

function describeOrder({announcement, gone}: FactDelta): string {
  const {id, generation, sequence} = announcement;
  return `${id}|${generation}|${sequence}|${gone}`;
}
