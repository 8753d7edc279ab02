import {Announcement, VersionRef} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {FactDelta, describeFacts, digestText} from './serverFacts.js';

const log = createLogger('membership');

/**
 * Time without a sign of life after which a backend server gets no new work, in milliseconds.
 * Its announcements come each second and heartbeats add up to another, so that one lost message is
 * tolerated and 5 s are kept.
 */
const EXPIRY_MS = 3_500;
/** Silence after which a holder declares a server gone to all entries, in milliseconds. */
const GONE_MS = 10_000;
/** Time for which the order of a gone server's announcements is remembered, in milliseconds. */
const FORGET_MS = 60_000;
const MAX_SERVERS = 20_000;
const BUCKETS = 64;

/** A backend server as this entry knows it. @public */
export interface KnownServer {
  readonly announcement: Announcement;
  /** Monotonic time at which the newest sign of life arrived. */
  readonly lastSeenAt: number;
}

/** What became of an announcement. @public */
export type ReceiveResult = 'stale' | 'heard' | 'changed';

interface ServerRecord {
  announcement: Announcement;
  facts: string;
  /** Sequence of the announcement that brought the facts. */
  factSequence: number;
  gone: boolean;
  lastSeenAt: number;
  /** When this entry began to watch over the server. */
  watchedSince: number;
  digest: number;
}

/**
 * The backend servers that an entry knows. Facts are ordered by generation and sequence, so that
 * a late message never replaces a newer one. Facts of all servers are kept; liveness and load
 * only of the held subset, and only held servers are listed for work.
 *
 * @public
 */
export class BackendServerDirectory {
  private readonly servers = new Map<string, ServerRecord>();
  private unheld: ReadonlySet<string> = new Set();
  /** Raised with every change of facts, so that others see cheaply that there was one. */
  factRevision = 0;

  // Commands.

  /**
   * Takes an announcement heard from the server itself.
   *
   * @returns `changed` where the facts are news, `heard` where only liveness and load are.
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
      return 'heard';
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
   * Takes a change of facts told by a peer.
   *
   * @returns whether the peers need to be told this entry's facts of the server.
   */
  merge(delta: FactDelta): boolean {
    const {announcement, gone} = delta;
    const before = this.servers.get(announcement.id);
    const heardAt =
      delta.ageMs === undefined ? -Infinity : performance.now() - delta.ageMs;
    const order = before ? compareOrder(delta, before) : 1;
    if (before && order === 0) {
      before.lastSeenAt = Math.max(before.lastSeenAt, heardAt);
      return false;
    }
    if (order < 0 || (gone && !before)) return false;
    if (before && isOvertaken(delta, before)) {
      // What was heard here since is newer, but under an order that the peer ranks lower.
      this.store({...before, factSequence: before.announcement.sequence});
      return true;
    }
    const isSameStart =
      before?.announcement.generation === announcement.generation;
    return this.store({
      announcement: {...announcement, load: undefined},
      facts: describeFacts(announcement),
      factSequence: announcement.sequence,
      gone,
      lastSeenAt: isSameStart ? Math.max(before.lastSeenAt, heardAt) : heardAt,
    });
  }

  /** Notes that a peer heard a server itself, with its occupancy where known. */
  markAlive(id: string, load: Announcement['load']): void {
    const record = this.servers.get(id);
    if (!record || record.gone) return;
    record.lastSeenAt = performance.now();
    if (load) record.announcement = {...record.announcement, load};
  }

  /**
   * Sets the servers whose liveness this entry follows. All are followed until first called, and
   * a server first heard of since the last call until the next.
   */
  track(ids: ReadonlySet<string>): void {
    const unheld = new Set<string>();
    for (const [id, record] of this.servers) {
      if (!ids.has(id)) unheld.add(id);
      else if (this.unheld.has(id)) record.watchedSince = performance.now();
    }
    this.unheld = unheld;
  }

  /**
   * Declares held servers gone that have been silent for long, and forgets those that were.
   *
   * @returns the servers newly declared gone, to be told to the peers.
   */
  expire(): string[] {
    const now = performance.now();
    const gone: string[] = [];
    for (const [id, record] of this.servers) {
      const since = Math.max(record.lastSeenAt, record.watchedSince);
      if (record.gone) {
        if (since < now - FORGET_MS) this.servers.delete(id);
        continue;
      }
      if (!this.isHeld(id) || since >= now - GONE_MS) continue;
      this.store({...record, gone: true, watchedSince: now});
      gone.push(id);
    }
    return gone;
  }

  // Queries.

  /** Lists the held servers that may be given new work. */
  listReady(): KnownServer[] {
    const ready: KnownServer[] = [];
    for (const [id, record] of this.servers) {
      if (this.isHeld(id) && isReady(record)) ready.push(record);
    }
    return ready;
  }

  /** Lists the held servers that are not gone, whatever their state. */
  listTracked(): KnownServer[] {
    return this.listAll().filter(({announcement: {id}}) => this.isHeld(id));
  }

  /** Lists every server that is not gone, held or not, whatever its state. */
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

  /** Finds a server that is not gone. */
  find(id: string): KnownServer | undefined {
    const record = this.servers.get(id);
    return record?.gone ? undefined : record;
  }

  /** Tells whether a server gave a sign of life lately. */
  isAlive(server: KnownServer): boolean {
    return isAlive(server);
  }

  /** Describes a server's facts for the peers; gone servers too. */
  describe(id: string): FactDelta | undefined {
    const record = this.servers.get(id);
    if (!record) return undefined;
    const {announcement, factSequence, gone, lastSeenAt: heardAt} = record;
    const ageMs = Math.round(performance.now() - heardAt);
    return {
      announcement: {...announcement, sequence: factSequence, load: undefined},
      gone,
      ...(Number.isFinite(ageMs) && {ageMs}),
    };
  }

  /** Computes the digest of the facts for each bucket; equal facts give equal digests. */
  computeDigests(): number[] {
    const digests = new Array<number>(BUCKETS).fill(0);
    for (const [id, {digest, gone}] of this.servers) {
      if (gone) continue;
      const bucket = digestText(id) % BUCKETS;
      digests[bucket] = ((digests[bucket] ?? 0) ^ digest) >>> 0;
    }
    return digests;
  }

  /** Lists the servers, gone ones too, in the buckets whose digests differ from the given. */
  listDiffering(digests: readonly number[]): string[] {
    const own = this.computeDigests();
    return [...this.servers.keys()].filter(id => {
      const bucket = digestText(id) % BUCKETS;
      return own[bucket] !== digests[bucket];
    });
  }

  private isHeld(id: string): boolean {
    return !this.unheld.has(id);
  }

  private store(
    record: Omit<ServerRecord, 'digest' | 'watchedSince'> &
      Partial<ServerRecord>,
  ): boolean {
    const {announcement, gone, factSequence} = record;
    const {id, generation, state} = announcement;
    const before = this.servers.get(id);
    if (!before && this.servers.size >= MAX_SERVERS && !this.evictGone()) {
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
      log('backend_server', {id, state: gone ? 'gone' : state});
    }
    return true;
  }

  private evictGone(): boolean {
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

function isAlive({lastSeenAt: heardAt}: KnownServer): boolean {
  return heardAt >= performance.now() - EXPIRY_MS;
}

function isReady(record: ServerRecord): boolean {
  const {announcement, gone} = record;
  return announcement.state === 'ready' && !gone && isAlive(record);
}

/** Positive where the delta's facts are newer, 0 where they are the same. */
function compareOrder(delta: FactDelta, before: ServerRecord): number {
  const {generation, sequence} = delta.announcement;
  return (
    generation - before.announcement.generation ||
    sequence - before.factSequence ||
    Number(delta.gone) - Number(before.gone)
  );
}

/** Whether the server itself has since said something else here, within the same generation. */
function isOvertaken(delta: FactDelta, before: ServerRecord): boolean {
  const {generation, sequence} = delta.announcement;
  return (
    !before.gone &&
    before.announcement.generation === generation &&
    before.announcement.sequence > sequence
  );
}
