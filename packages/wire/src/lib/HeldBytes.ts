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
  | 'answers_unread';

/** Progress of a body: a waiting one may not be read until there is room for all of it. */
type BodyState = 'small' | 'waiting' | 'reading' | 'whole' | 'closed';

/** What the owner of a body is told; called at most once each. @public */
export interface BodyListener {
  /** There is room for the whole body. */
  onRoom(): void;
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
  bytes: number;
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
 * - While others wait for room, a large body without progress is refused.
 *
 * @public
 */
export class HeldBytes {
  private readonly maxSmallBytes: number;
  private readonly maxLargeBytes: number;
  private readonly entries = new Set<Entry>();
  private readonly waiting = new Set<Entry>();
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

  /** Opens the account of a body that may become `maxBytes` long. */
  openBody(maxBytes: number, listener: BodyListener): HeldBody {
    const entry: Entry = {
      state: 'small',
      listener,
      maxBytes,
      bytes: 0,
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
    if (entry.state === 'small' && entry.bytes > SMALL_BODY_BYTES) {
      entry.state = 'waiting';
      entry.waitingAt = performance.now();
      this.waiting.add(entry);
    }
    this.countIn(entry);
    if (entry.state === 'waiting') this.offerRoom();
    this.limitSmall();
  }

  /** Records that a body is whole; it keeps its bytes until it is closed. */
  finishBody(body: HeldBody): void {
    const entry = body as Entry;
    if (entry.state === 'closed') return;
    this.countOut(entry);
    this.waiting.delete(entry);
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
    this.waiting.delete(entry);
    this.offerRoom();
  }

  // Queries.

  /** Bytes that are held or promised to bodies. */
  get totalBytes(): number {
    return this.smallBytes + this.largeBytes;
  }

  /** Number of bodies that wait for room. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  private offerRoom(): void {
    for (const entry of this.waiting) {
      const isAlone = this.largeBytes === 0;
      const fits = this.largeBytes + entry.maxBytes <= this.maxLargeBytes;
      if (!fits && !isAlone) break;
      this.waiting.delete(entry);
      this.countOut(entry);
      entry.state = 'reading';
      this.countIn(entry);
      recordProgress(entry);
      entry.listener.onRoom();
    }
    this.updateTimer();
  }

  private updateTimer(): void {
    if (this.waiting.size === 0) {
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
    for (const entry of [...this.waiting]) {
      if (entry.waitingAt <= latest) this.refuseBody(entry, 'no_room');
    }
  }

  /** Refuses large bodies without progress as long as others wait. */
  private refuseStalled(): void {
    const stalledBefore = performance.now() - STALL_MS;
    for (const entry of this.entries) {
      if (this.waiting.size === 0) return;
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
      if (entry.bytes === 0) continue;
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

  private count({state, bytes, maxBytes}: Entry, sign: 1 | -1): void {
    if (state === 'reading') this.largeBytes += sign * maxBytes;
    else if (state === 'whole' && bytes > SMALL_BODY_BYTES)
      this.largeBytes += sign * bytes;
    else this.smallBytes += sign * bytes;
  }
}

function recordProgress(entry: Entry): void {
  entry.progressBytes = entry.bytes;
  entry.progressAt = performance.now();
}
