import {Announcement, VersionRef} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {FactDelta, describeFacts, digestText} from './serverFacts.js';

const log = createLogger('membership');

/**
 * Time without an announcement or heartbeat after which a backend server gets no new work, in
 * milliseconds. A server announces itself every second and gossip heartbeats add up to another
 * second. The timeout tolerates one lost message and still removes a silent server within 5 s.
 */
const LIVENESS_TIMEOUT_MS = 3_500;
/** Time without an announcement or heartbeat after which a server is declared departed, in ms. */
const DEPARTURE_TIMEOUT_MS = 10_000;
/** Time for which a departed server's record is retained to reject late messages, in ms. */
const TOMBSTONE_MS = 60_000;
const MAX_SERVERS = 20_000;
/** Number of buckets into which servers are hashed. Entries compare the digests of each. */
const BUCKETS = 64;

/** A backend server as this entry knows it. @public */
export interface KnownServer {
  readonly announcement: Announcement;
  /** Monotonic time at which the server was last known to be alive. */
  readonly lastSeenAt: number;
}

/** The effect of an announcement on the directory. @public */
export type ReceiveResult = 'stale' | 'refreshed' | 'changed';

interface ServerRecord {
  announcement: Announcement;
  facts: string;
  /** Sequence number of the announcement that contained the facts, unless `merge` has raised it. */
  factSequence: number;
  gone: boolean;
  lastSeenAt: number;
  /**
   * Monotonic time at which this entry stored the facts, declared the server departed or began to
   * track it. The departure timeout counts from this time or `lastSeenAt`, whichever is later.
   */
  watchedSince: number;
  digest: number;
}

/**
 * The backend servers that an entry knows. Facts are ordered by generation and sequence, so that
 * a late message never replaces a newer one. The directory retains the facts of all servers, but
 * liveness and load only of the tracked subset. Only tracked servers are listed for work.
 *
 * @public
 */
export class BackendServerDirectory {
  private readonly servers = new Map<string, ServerRecord>();
  private untracked: ReadonlySet<string> = new Set();
  /** Incremented with every change of facts, so that callers can detect changes cheaply. */
  factRevision = 0;

  // Commands.

  /**
   * Records an announcement received from the server itself.
   *
   * @returns `changed` if the facts changed, `refreshed` if only liveness and load were updated,
   * `stale` if the announcement was not recorded.
   * @example
   * ```ts
   * if (directory.receive(announcement) === 'changed') gossip.announce(announcement.id);
   * ```
   */
  receive(announcement: Announcement): ReceiveResult {
    const before = this.servers.get(announcement.id);
    if (before && !isNewer(announcement, before.announcement)) return 'stale';
    const facts = describeFacts(announcement);
    const isSame =
      before?.announcement.generation === announcement.generation &&
      before.facts === facts &&
      !before.gone;
    if (isSame) {
      before.announcement = announcement;
      before.lastSeenAt = performance.now();
      return 'refreshed';
    }
    const isStored = this.store({
      announcement,
      facts,
      factSequence: announcement.sequence,
      gone: false,
      lastSeenAt: performance.now(),
    });
    return isStored ? 'changed' : 'stale';
  }

  /**
   * Merges the facts of a server received from a peer.
   *
   * @returns whether this entry must send its facts of the server to its peers.
   */
  merge(delta: FactDelta): boolean {
    const {announcement, gone} = delta;
    const before = this.servers.get(announcement.id);
    const lastSeenAt =
      delta.ageMs === undefined ? -Infinity : performance.now() - delta.ageMs;
    const order = before ? compareOrder(delta, before) : 1;
    if (before && order === 0) {
      before.lastSeenAt = Math.max(before.lastSeenAt, lastSeenAt);
      return false;
    }
    if (order < 0 || (gone && !before)) return false;
    if (before && isSuperseded(delta, before)) {
      // This entry has a newer announcement, but its facts have a lower sequence than the delta's.
      // Raising their sequence makes them supersede the delta at the peers.
      this.store({...before, factSequence: before.announcement.sequence});
      return true;
    }
    const isSameGeneration =
      before?.announcement.generation === announcement.generation;
    return this.store({
      announcement: {...announcement, load: undefined},
      facts: describeFacts(announcement),
      factSequence: announcement.sequence,
      gone,
      lastSeenAt: isSameGeneration
        ? Math.max(before.lastSeenAt, lastSeenAt)
        : lastSeenAt,
    });
  }

  /** Records that a peer has reported a server as alive, with its load if known. */
  markAlive(id: string, load: Announcement['load']): void {
    const record = this.servers.get(id);
    if (!record || record.gone) return;
    record.lastSeenAt = performance.now();
    if (load) record.announcement = {...record.announcement, load};
  }

  /**
   * Sets the servers whose liveness this entry tracks. All servers are tracked until the first
   * call, and a new server is tracked until the next call.
   */
  track(ids: ReadonlySet<string>): void {
    const untracked = new Set<string>();
    for (const [id, record] of this.servers) {
      if (!ids.has(id)) untracked.add(id);
      else if (this.untracked.has(id)) record.watchedSince = performance.now();
    }
    this.untracked = untracked;
  }

  /**
   * Declares tracked servers departed after a long silence, and removes the records of those that
   * departed long ago.
   *
   * @returns the servers newly declared departed, to be announced to the peers.
   */
  expire(): string[] {
    const now = performance.now();
    const departed: string[] = [];
    for (const [id, record] of this.servers) {
      const silentSince = Math.max(record.lastSeenAt, record.watchedSince);
      if (record.gone) {
        if (silentSince < now - TOMBSTONE_MS) this.servers.delete(id);
        continue;
      }
      if (!this.isTracked(id) || silentSince >= now - DEPARTURE_TIMEOUT_MS)
        continue;
      this.store({...record, gone: true, watchedSince: now});
      departed.push(id);
    }
    return departed;
  }

  // Queries.

  /** Lists the tracked servers that can accept new work. */
  listReady(): KnownServer[] {
    const ready: KnownServer[] = [];
    for (const [id, record] of this.servers) {
      if (this.isTracked(id) && isReady(record)) ready.push(record);
    }
    return ready;
  }

  /** Lists the tracked servers in any state, except departed ones. */
  listTracked(): KnownServer[] {
    return this.listAll().filter(({announcement: {id}}) => this.isTracked(id));
  }

  /** Lists all servers in any state, tracked or not, except departed ones. */
  listAll(): KnownServer[] {
    return [...this.servers.values()].filter(({gone}) => !gone);
  }

  /** Lists the ready engines that have a version loaded. */
  listEngines(version: VersionRef): KnownServer[] {
    return this.listReady().filter(
      ({announcement}) =>
        announcement.kind === 'engine' &&
        announcement.versions.some(
          loaded =>
            loaded.model === version.model &&
            loaded.version === version.version,
        ),
    );
  }

  /** Lists the ready replicas of a plain service. */
  listReplicas(service: string): KnownServer[] {
    return this.listReady().filter(
      ({announcement}) =>
        announcement.kind === 'service' && announcement.service === service,
    );
  }

  /** Finds a server that has not departed. */
  find(id: string): KnownServer | undefined {
    const record = this.servers.get(id);
    return record?.gone ? undefined : record;
  }

  /** Returns whether a server was known to be alive within the liveness timeout. */
  isAlive(server: KnownServer): boolean {
    return isAlive(server);
  }

  /** Describes a server's facts for the peers, even if the server has departed. */
  describe(id: string): FactDelta | undefined {
    const record = this.servers.get(id);
    if (!record) return undefined;
    const {announcement, factSequence, gone, lastSeenAt} = record;
    const ageMs = Math.round(performance.now() - lastSeenAt);
    return {
      announcement: {...announcement, sequence: factSequence, load: undefined},
      gone,
      ...(Number.isFinite(ageMs) && {ageMs}),
    };
  }

  /** Computes a digest of the facts in each bucket, without those of departed servers. */
  computeDigests(): number[] {
    const digests = new Array<number>(BUCKETS).fill(0);
    for (const [id, {digest, gone}] of this.servers) {
      if (gone) continue;
      const bucket = digestText(id) % BUCKETS;
      digests[bucket] = ((digests[bucket] ?? 0) ^ digest) >>> 0;
    }
    return digests;
  }

  /** Lists the servers, including departed ones, in the buckets whose digests differ. */
  listDiffering(digests: readonly number[]): string[] {
    const own = this.computeDigests();
    return [...this.servers.keys()].filter(id => {
      const bucket = digestText(id) % BUCKETS;
      return own[bucket] !== digests[bucket];
    });
  }

  private isTracked(id: string): boolean {
    return !this.untracked.has(id);
  }

  private store(
    record: Omit<ServerRecord, 'digest' | 'watchedSince'> &
      Partial<ServerRecord>,
  ): boolean {
    const {announcement, gone, factSequence} = record;
    const {id, generation, state} = announcement;
    const before = this.servers.get(id);
    if (!before && this.servers.size >= MAX_SERVERS && !this.evictDeparted()) {
      log('directory_full', {id});
      return false;
    }
    this.servers.set(id, {
      watchedSince: performance.now(),
      ...record,
      digest: digestText(`${id}|${generation}|${factSequence}`),
    });
    this.factRevision += 1;
    if (before?.announcement.state !== state || before.gone !== gone) {
      log('backend_server', {id, state: gone ? 'departed' : state});
    }
    return true;
  }

  private evictDeparted(): boolean {
    for (const [id, {gone}] of this.servers) {
      if (gone) return this.servers.delete(id);
    }
    return false;
  }
}

function isNewer(next: Announcement, before: Announcement): boolean {
  if (next.generation !== before.generation) {
    return next.generation > before.generation;
  }
  return next.sequence > before.sequence;
}

function isAlive({lastSeenAt}: KnownServer): boolean {
  return lastSeenAt >= performance.now() - LIVENESS_TIMEOUT_MS;
}

function isReady(record: ServerRecord): boolean {
  const {announcement, gone} = record;
  return announcement.state === 'ready' && !gone && isAlive(record);
}

/** Returns a positive number if the delta's facts are newer, a negative one if older, else 0. */
function compareOrder(delta: FactDelta, before: ServerRecord): number {
  const {generation, sequence} = delta.announcement;
  return (
    generation - before.announcement.generation ||
    sequence - before.factSequence ||
    Number(delta.gone) - Number(before.gone)
  );
}

/** Returns whether this entry has a newer announcement of the same generation than the delta. */
function isSuperseded(delta: FactDelta, before: ServerRecord): boolean {
  const {generation, sequence} = delta.announcement;
  return (
    !before.gone &&
    before.announcement.generation === generation &&
    before.announcement.sequence > sequence
  );
}
