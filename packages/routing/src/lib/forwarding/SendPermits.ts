/** Time for which a permit of a limit may be used, in ms; what is saved up does not come out at once. */
const PERMIT_MS = 1_000;

/**
 * The sends that one entry may make to one server that has named a limit: granted ones, and without
 * a control instance one at each interval.
 *
 * @public
 */
export class SendPermits {
  /** When each granted permit expires, on the monotonic clock. */
  private expiries: number[] = [];
  /** When the next send without a grant is allowed, on the monotonic clock. */
  private pacedAt: number | undefined;

  constructor(private readonly lifetimeMs = PERMIT_MS) {}

  // Commands.

  /** Adds permits that were granted in reply to a report that was sent at a time. */
  add(count: number, reportedAt: number): void {
    for (let index = 0; index < count; index += 1) {
      this.expiries.push(reportedAt + this.lifetimeMs);
    }
  }

  /** Uses one permit; returns when it would have expired if it was granted. */
  take(intervalMs?: number): number | undefined {
    this.advance(intervalMs);
    const expiresAt = this.expiries.shift();
    const isPaced = expiresAt === undefined && intervalMs !== undefined;
    if (isPaced && this.pacedAt !== undefined) this.pacedAt += intervalMs;
    return expiresAt;
  }

  /** Gives back a permit that was taken and not used. */
  restore(expiresAt: number): void {
    this.expiries.unshift(expiresAt);
  }

  /** Drops all permits that were granted. */
  clear(): void {
    this.expiries = [];
  }

  /**
   * Drops what has expired, and starts to pace sends if an interval is given: at a random time, so that
   * the entries do not all begin together.
   */
  advance(intervalMs?: number): void {
    const now = performance.now();
    this.expiries = this.expiries.filter(expiresAt => expiresAt > now);
    if (intervalMs === undefined) {
      this.pacedAt = undefined;
      return;
    }
    this.pacedAt ??= now + Math.random() * intervalMs;
    const missedMs = now - PERMIT_MS - this.pacedAt;
    if (missedMs <= 0) return;
    this.pacedAt += Math.ceil(missedMs / intervalMs) * intervalMs;
  }

  // Queries.

  /** Counts the permits that were granted; call `advance` before. */
  countGranted(): number {
    return this.expiries.length;
  }

  /** Returns whether a send is permitted now; with an interval, sends are paced once `advance` was called. */
  isAvailable(intervalMs?: number): boolean {
    const now = performance.now();
    if (this.expiries.some(expiresAt => expiresAt > now)) return true;
    if (intervalMs === undefined || this.pacedAt === undefined) return false;
    return this.pacedAt <= now;
  }
}
