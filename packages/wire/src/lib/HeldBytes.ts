/** Why clients' input is refused or their connections are closed. @public */
export type ClientRefusal =
  | 'body_slow'
  | 'body_stalled'
  | 'no_room'
  | 'too_many_connections'
  | 'too_many_requests'
  | 'bytes_without_request'
  | 'idle'
  | 'heads_unfinished'
  | 'no_room_for_head'
  | 'bytes_without_data'
  | 'answers_unread';

/** Progress of a body: a waiting one may not be read until there is room for it. */
type BodyState = 'small' | 'waiting' | 'reading' | 'whole' | 'closed';

/** What the owner of a body is told. @public */
export interface BodyListener {
  /** There is room for the body up to so many bytes; once for one of known length, else each time it grows. */
  onRoom(bytes: number): void;
  /** Called once at most. */
  onRefused(refusal: ClientRefusal): void;
}

/** A body that is held for a client. @public */
export interface HeldBody {
  readonly state: BodyState;
}

interface Entry {
  state: BodyState;
  readonly listener: BodyListener;
  /** The most bytes that it may become. */
  readonly maxBytes: number;
  /** Whether it becomes that long unless it stops short. */
  readonly hasLength: boolean;
  bytes: number;
  /** Room that was promised to it; 0 until it has been read on once. */
  promisedBytes: number;
  /** `bytes` when it last made progress, and when that was, on the monotonic clock. */
  progressBytes: number;
  progressAt: number;
  /** When it began to wait for room, on the monotonic clock. */
  waitingAt: number;
}

/** Size up to which a body needs no room of its own, in bytes. */
const SMALL_BODY_BYTES = 16 * 1024;
/** Share of the room that is kept for small bodies and for the beginnings of large ones. */
const SMALL_SHARE = 0.25;
/** The first room of a body of unknown length, in bytes; it doubles each time that the body nearly fills it. */
const FIRST_ROOM_BYTES = 128 * 1024;
/** The most that arrives of a body before its connection is paused, in bytes. */
const CHUNK_BYTES = 64 * 1024;
/** Bytes that count as progress of a body. */
const PROGRESS_BYTES = 64 * 1024;
/** Time without progress after which a body gives way to those that wait for room, in milliseconds. */
const STALL_MS = 1_000;
/** Longest wait of a large body for room, in milliseconds. */
const MAX_WAIT_MS = 5_000;
/** Time between checks for stalled bodies while others wait, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * The account of the bodies that a process holds for its clients, from their first byte until they are
 * released. It answers many large bodies at once, most of which stop short of their end:
 *
 * - A small body is read at once. Of small ones that together take more than their share of the room, the
 *   one without progress for the longest time is refused.
 * - A large body is read on only once there is room for all of it, so that those that are read can end. One
 *   alone is always read.
 * - One of unknown length gets room in steps, as long as each of those that have some can still become as
 *   long as is allowed, by itself; otherwise it waits for room for all of it, as others do.
 * - While others wait for room, a large body without progress is refused.
 *
 * @public
 */
export class HeldBytes {
  private readonly maxSmallBytes: number;
  private readonly maxLargeBytes: number;
  private readonly entries = new Set<Entry>();
  /** Bodies that wait for their first room. */
  private readonly waiting = new Set<Entry>();
  /** Bodies that have room and are not whole yet. */
  private readonly started = new Set<Entry>();
  /** Those of them that wait for more; they can end only with it, so they come first. */
  private readonly outgrown = new Set<Entry>();
  private smallBytes = 0;
  private largeBytes = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    budgetBytes: number,
    private readonly onRefusal: (refusal: ClientRefusal) => void,
  ) {
    this.maxSmallBytes = budgetBytes * SMALL_SHARE;
    this.maxLargeBytes = budgetBytes - this.maxSmallBytes;
  }

  // Commands.

  /**
   * Opens the account of a body that may become `maxBytes` long.
   *
   * @param hasLength - Whether it becomes that long unless it stops short.
   */
  openBody(
    maxBytes: number,
    listener: BodyListener,
    hasLength = true,
  ): HeldBody {
    const entry: Entry = {
      state: 'small',
      listener,
      maxBytes,
      hasLength,
      bytes: 0,
      promisedBytes: 0,
      progressBytes: 0,
      progressAt: performance.now(),
      waitingAt: Infinity,
    };
    this.entries.add(entry);
    return entry;
  }

  /** Counts bytes that have arrived; the body then reads on unless it is `waiting` or `closed`. */
  addBytes(body: HeldBody, count: number): void {
    const entry = body as Entry;
    if (entry.state === 'closed') return;
    this.countOut(entry);
    entry.bytes += count;
    if (entry.bytes - entry.progressBytes >= PROGRESS_BYTES) {
      recordProgress(entry);
    }
    const next = this.findWaitingSet(entry);
    if (next) {
      entry.state = 'waiting';
      entry.waitingAt = performance.now();
      next.add(entry);
    }
    this.countIn(entry);
    if (next) this.offerRoom();
    this.limitSmall();
  }

  /** Records that a body is whole; it keeps its bytes until it is closed. */
  finishBody(body: HeldBody): void {
    const entry = body as Entry;
    if (entry.state === 'closed') return;
    this.countOut(entry);
    this.dropStarted(entry);
    entry.state = 'whole';
    this.countIn(entry);
    this.offerRoom();
  }

  /** Refuses a body. */
  refuseBody(body: HeldBody, refusal: ClientRefusal): void {
    const entry = body as Entry;
    if (entry.state === 'closed') return;
    this.onRefusal(refusal);
    this.closeBody(entry);
    entry.listener.onRefused(refusal);
  }

  /** Releases the bytes of a body. */
  closeBody(body: HeldBody): void {
    const entry = body as Entry;
    if (entry.state === 'closed') return;
    this.countOut(entry);
    entry.state = 'closed';
    this.entries.delete(entry);
    this.dropStarted(entry);
    this.offerRoom();
  }

  // Queries.

  /** Bytes that are held or promised to bodies. */
  get totalBytes(): number {
    return this.smallBytes + this.largeBytes;
  }

  /** Number of bodies that wait for room. */
  get waitingCount(): number {
    return this.waiting.size + this.outgrown.size;
  }

  /** Returns where a body waits that may not be read on now; undefined if it may, or waits already. */
  private findWaitingSet(entry: Entry): Set<Entry> | undefined {
    const {state, bytes, promisedBytes, maxBytes} = entry;
    if (state === 'small' && bytes > SMALL_BODY_BYTES) return this.waiting;
    const isOutgrown =
      promisedBytes < maxBytes && bytes + CHUNK_BYTES > promisedBytes;
    return state === 'reading' && isOutgrown ? this.outgrown : undefined;
  }

  private dropStarted(entry: Entry): void {
    this.waiting.delete(entry);
    this.outgrown.delete(entry);
    this.started.delete(entry);
  }

  private offerRoom(): void {
    for (const set of [this.outgrown, this.waiting]) {
      for (const entry of set) {
        const roomBytes = this.computeRoom(entry);
        if (roomBytes === undefined) {
          this.updateTimer();
          return;
        }
        set.delete(entry);
        this.countOut(entry);
        entry.state = 'reading';
        entry.promisedBytes = roomBytes;
        this.started.add(entry);
        this.countIn(entry);
        recordProgress(entry);
        entry.listener.onRoom(roomBytes);
      }
    }
    this.updateTimer();
  }

  /** Computes the room that a waiting body may have in all now; undefined if it has to wait. */
  private computeRoom(entry: Entry): number | undefined {
    const {maxBytes, bytes, hasLength, promisedBytes} = entry;
    const own = promisedBytes > 0 ? Math.max(bytes, promisedBytes) : 0;
    const othersBytes = this.largeBytes - own;
    const othersNeed = this.computeLargestNeed(entry);
    const hasRoom = (roomBytes: number) => {
      const need = Math.max(othersNeed, maxBytes - roomBytes);
      return othersBytes + roomBytes + need <= this.maxLargeBytes;
    };
    const isAlone = othersBytes === 0;
    if (hasLength) return isAlone || hasRoom(maxBytes) ? maxBytes : undefined;
    const nextBytes = Math.min(
      maxBytes,
      Math.max(FIRST_ROOM_BYTES, bytes * 2 + CHUNK_BYTES),
    );
    if (hasRoom(nextBytes)) return nextBytes;
    // The others wait until it has ended, unless there is room for them, too.
    const isAllFree = othersBytes + maxBytes <= this.maxLargeBytes;
    return isAlone || (promisedBytes > 0 && isAllFree) ? maxBytes : undefined;
  }

  /** Computes the most room that one of the other bodies with some still needs to end. */
  private computeLargestNeed(entry: Entry): number {
    let need = 0;
    for (const other of this.started) {
      if (other === entry) continue;
      need = Math.max(need, other.maxBytes - other.promisedBytes);
    }
    return need;
  }

  private updateTimer(): void {
    if (this.waitingCount === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    this.timer ??= setInterval(() => {
      this.refuseLate();
      this.refuseStalled();
    }, CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Refuses large bodies that have waited for room so long that their clients do better elsewhere. */
  private refuseLate(): void {
    const latest = performance.now() - MAX_WAIT_MS;
    for (const entry of [...this.outgrown, ...this.waiting]) {
      if (entry.waitingAt <= latest) this.refuseBody(entry, 'no_room');
    }
  }

  /** Refuses large bodies without progress as long as others wait. */
  private refuseStalled(): void {
    const stalledBefore = performance.now() - STALL_MS;
    for (const entry of this.entries) {
      if (this.waitingCount === 0) return;
      if (entry.state !== 'reading') continue;
      if (entry.progressAt > stalledBefore) continue;
      this.refuseBody(entry, 'body_stalled');
    }
  }

  private limitSmall(): void {
    while (this.smallBytes > this.maxSmallBytes) {
      const victim = this.findLeastProgress();
      if (!victim) return;
      this.refuseBody(victim, 'no_room');
    }
  }

  /** Finds the body that is not whole yet and has made no progress for the longest time, of the small ones. */
  private findLeastProgress(): Entry | undefined {
    let least: Entry | undefined;
    for (const entry of this.entries) {
      if (entry.state !== 'small' && entry.state !== 'waiting') continue;
      if (entry.bytes === 0 || entry.promisedBytes > 0) continue;
      if (!least || entry.progressAt < least.progressAt) least = entry;
    }
    return least;
  }

  private countIn(entry: Entry): void {
    this.count(entry, 1);
  }

  private countOut(entry: Entry): void {
    this.count(entry, -1);
  }

  private count({state, bytes, promisedBytes}: Entry, sign: 1 | -1): void {
    const isPromised = state === 'reading' || state === 'waiting';
    if (isPromised && promisedBytes > 0)
      this.largeBytes += sign * Math.max(bytes, promisedBytes);
    else if (state === 'whole' && bytes > SMALL_BODY_BYTES)
      this.largeBytes += sign * bytes;
    else this.smallBytes += sign * bytes;
  }
}

function recordProgress(entry: Entry): void {
  entry.progressBytes = entry.bytes;
  entry.progressAt = performance.now();
}
