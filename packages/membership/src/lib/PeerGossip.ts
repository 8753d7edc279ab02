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
/** Time for which changes are collected into one message, in milliseconds. */
const BATCH_DELAY_MS = 50;
/** Time without a heartbeat after which a link is closed and redialled, in milliseconds. */
const LINK_SILENCE_TIMEOUT_MS = 3_500;
/**
 * Number of peers that must confirm a `leaving` announcement before it is acknowledged, so that it
 * survives a crash of this entry.
 */
const LEAVING_CONFIRMATIONS = 2;
/** Time within which these peers must confirm it, in milliseconds. */
const LEAVING_TIMEOUT_MS = 1_000;
const FACTS_METHOD = 'membership.facts';
/** The name is short, as heartbeats are most of the traffic between entries. */
const HEARTBEAT_METHOD = 'hb';
const INTEREST_METHOD = 'membership.interest';
const SYNC_METHOD = 'membership.sync';

/** Options of a PeerGossip. @public */
export interface PeerGossipOptions {
  /** Name of this entry. */
  readonly name: string;
  /** Addresses of the entries to join through. */
  readonly peers: readonly PeerAddress[];
  readonly peerKey: string;
  readonly peerTls?: TlsMaterial;
  readonly directory: BackendServerDirectory;
  /** Replaces the real links in tests. */
  readonly peerSet?: PeerSet;
}

/** Answer to a backend server's announcement. @public */
export interface AnnouncementAnswer {
  readonly accepted: boolean;
  /** Newest known generation and sequence, which the next announcement must exceed. */
  readonly generation: number;
  readonly sequence: number;
}

interface SyncAnswer {
  readonly digests: readonly number[];
  readonly facts: readonly FactDelta[];
}

/** The digest of the sender's facts, empty if unchanged since its last one, and a heartbeat. */
type HeartbeatMessage = readonly [
  digest: string,
  ...heartbeat: EncodedHeartbeat,
];

/** The state of the heartbeats on one link. */
interface HeartbeatRecord {
  /** Monotonic time of the last heartbeat received. */
  lastReceivedAt: number;
  sentDigest: string;
  theirDigest: string;
  /** The peer's and this entry's digest if they differed at the last heartbeat, else empty. */
  mismatch: string;
}

/**
 * Gossip between entries about backend servers. Changes of facts are sent in batches after a short
 * delay. Liveness and load are sent in one heartbeat a second, with a bit for each server that the
 * peer tracks. If digests differ at two consecutive heartbeats, the buckets of facts that differ
 * are exchanged.
 *
 * @public
 */
export class PeerGossip {
  private readonly directory: BackendServerDirectory;
  private readonly links: PeerLinks | undefined;
  private readonly peerSet: PeerSet;
  private readonly interests = new InterestList();
  private readonly peerInterests = new PeerInterests();
  private readonly announcedIds = new Set<string>();
  /** Servers whose facts are to be sent, with the peer that they came from, if any. */
  private readonly pending = new Map<string, PeerLink | undefined>();
  /** Generation of each server whose `leaving` enough peers have confirmed. */
  private readonly confirmedLeaving = new Map<string, number>();
  private readonly heartbeats = new WeakMap<PeerLink, HeartbeatRecord>();
  private readonly syncing = new WeakSet<PeerLink>();
  private factDigest = {revision: -1, digest: ''};
  private heartbeatCount = 0;
  private subsetInputs = '';
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

  /** Joins the other entries, which reach this one at `address`. */
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
   * Handles an announcement of a backend server. For `leaving` it returns only once enough peers
   * have confirmed it.
   *
   * @throws SycamoreheadError `timeout` if too few peers confirmed a `leaving` in time.
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
    this.announcedIds.add(id);
    if (state === 'leaving') await this.confirmLeaving(announcement);
    else if (result === 'changed') this.announce(id);
    return answer;
  }

  /** Sends the interest list to a new peer and compares the facts with it. */
  handleLinked(name: string, link: PeerLink): void {
    this.sendInterests(link, true, this.interests.list());
    // Only the entry with the smaller name starts the sync, which sends missing facts both ways.
    if (this.options.name < name) void this.sync(link);
  }

  /** Returns the methods that this entry serves to its peers. */
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

  /** Declares silent servers departed, updates the tracked subset and sends the heartbeats. */
  private sendHeartbeats(): void {
    this.links?.expire();
    for (const id of this.directory.expire()) {
      this.confirmedLeaving.delete(id);
      this.announce(id);
    }
    this.updateSubset();
    const digest = this.digestFacts();
    const announced = this.listAnnounced();
    this.heartbeatCount += 1;
    // Only every second heartbeat contains load levels, since engines' load reports lag anyway.
    const withLevels = this.heartbeatCount % 2 === 0;
    for (const [name, link] of this.peerSet.listLinks()) {
      const record = this.getHeartbeatRecord(link);
      if (performance.now() - record.lastReceivedAt > LINK_SILENCE_TIMEOUT_MS) {
        link.close('no heartbeat');
        continue;
      }
      const sent = record.sentDigest === digest ? '' : digest;
      record.sentDigest = digest;
      const servers = this.peerInterests.filterByInterest(name, announced);
      const heartbeat = encodeHeartbeat(servers, withLevels);
      link.notify(HEARTBEAT_METHOD, [sent, ...heartbeat]);
    }
    this.announcedIds.clear();
  }

  private announce(id: string, source?: PeerLink): void {
    this.pending.set(id, source);
    if (this.flushTimer) return;
    this.flushTimer = setTimeout(() => this.flush(), BATCH_DELAY_MS);
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
    const peerCount = Math.max(
      this.peerSet.listEntries().length - 1,
      this.options.peers.length,
    );
    const needed = Math.min(LEAVING_CONFIRMATIONS, peerCount);
    const calls = [...this.peerSet.listLinks().values()].map(link =>
      link.request(
        FACTS_METHOD,
        this.describeServers([id]),
        LEAVING_TIMEOUT_MS,
      ),
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

  /** Forwards facts to the peers, including their source if this entry has newer ones. */
  private forward(delta: FactDelta, source: PeerLink): void {
    const {id, sequence} = delta.announcement;
    const own = this.directory.describe(id);
    const isSameSequence = own?.announcement.sequence === sequence;
    this.announce(id, isSameSequence ? source : undefined);
  }

  private getHeartbeatRecord(link: PeerLink): HeartbeatRecord {
    const known = this.heartbeats.get(link);
    if (known) return known;
    const lastReceivedAt = performance.now();
    const record = {
      lastReceivedAt,
      sentDigest: '',
      theirDigest: '',
      mismatch: '',
    };
    this.heartbeats.set(link, record);
    return record;
  }

  private receiveHeartbeat(
    [digest, ...heartbeat]: HeartbeatMessage,
    link: PeerLink,
  ): void {
    const record = this.getHeartbeatRecord(link);
    record.lastReceivedAt = performance.now();
    record.theirDigest = digest || record.theirDigest;
    for (const {position, level} of decodeHeartbeat(heartbeat)) {
      const id = this.interests.get(position);
      if (!id) continue;
      const slots = this.directory.find(id)?.announcement.slots ?? 1;
      this.directory.markAlive(id, decodeLoadLevel(level, slots, HEARTBEAT_MS));
    }
    this.compareDigests(record, link);
  }

  /** Starts a sync if the two digests differ and are the same as at the previous heartbeat. */
  private compareDigests(record: HeartbeatRecord, link: PeerLink): void {
    const ownDigest = this.digestFacts();
    const {theirDigest, mismatch} = record;
    const differs = theirDigest !== ownDigest;
    record.mismatch = differs ? `${theirDigest}/${ownDigest}` : '';
    if (differs && record.mismatch === mismatch) void this.sync(link);
  }

  /** Merges the peer's facts from buckets that differ and sends it the facts that it lacks. */
  private async sync(link: PeerLink): Promise<void> {
    if (this.syncing.has(link)) return;
    this.syncing.add(link);
    try {
      const digests = this.directory.computeDigests();
      const answer = await link.request<SyncAnswer>(SYNC_METHOD, digests);
      const own = this.describeServers(
        this.directory.listDiffering(answer.digests),
      );
      this.mergeFacts(answer.facts, link);
      const received = new Set(answer.facts.map(formatFactKey));
      const lacking = own.filter(delta => !received.has(formatFactKey(delta)));
      if (lacking.length > 0) link.notify(FACTS_METHOD, lacking);
      const merged = answer.facts.length;
      log('synced', {peer: link.peerName, merged, sent: lacking.length});
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
    const inputs = `${this.directory.factRevision}/${entries.join(',')}`;
    if (inputs === this.subsetInputs) return;
    this.subsetInputs = inputs;
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

  private listAnnounced(): Announcement[] {
    return [...this.announcedIds]
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

function formatFactKey({announcement, gone}: FactDelta): string {
  const {id, generation, sequence} = announcement;
  return `${id}|${generation}|${sequence}|${gone}`;
}
