/** Time with a queue in which places count as lately, in milliseconds. */
const FLOW_MS = 2_000;
/** Places, and time with a queue in milliseconds, from which a rate is known. */
const MIN_PLACES = 3;
const MIN_QUEUED_MS = 200;
/** Time without a queue after which a rate is forgotten, in milliseconds. */
const EXPIRY_MS = 10_000;
const MS_PER_SECOND = 1_000;

/**
 * Measures the rate at which requests get places while others wait. Without a queue, the rate is that of
 * the requests and says nothing of how many more could be served.
 *
 * @public
 */
export class SaturatedRate {
  private places = 0;
  private queuedMs = 0;
  private isQueued = false;
  private updatedAt = performance.now();
  private queuedAt = Infinity;

  // Commands.

  /** Records whether requests wait. */
  recordQueue(isQueued: boolean): void {
    this.update();
    if (isQueued === this.isQueued) return;
    this.isQueued = isQueued;
    this.updatedAt = performance.now();
    this.queuedAt = isQueued ? this.updatedAt : Infinity;
  }

  /** Records that a request got a place. */
  recordPlaced(): void {
    this.update();
    if (this.isQueued) this.places += 1;
  }

  // Queries.

  /** The rate a second; undefined if too little is known. */
  get perSecond(): number | undefined {
    this.update();
    if (this.places < MIN_PLACES || this.queuedMs < MIN_QUEUED_MS) {
      return undefined;
    }
    return (this.places * MS_PER_SECOND) / this.queuedMs;
  }

  /** Whether requests have waited for long enough for estimates. */
  get isSaturated(): boolean {
    const queuedMs = performance.now() - this.queuedAt;
    return queuedMs >= MIN_QUEUED_MS || this.perSecond !== undefined;
  }

  private update(): void {
    const now = performance.now();
    const passedMs = now - this.updatedAt;
    if (this.isQueued) {
      const kept = Math.exp(-passedMs / FLOW_MS);
      this.places *= kept;
      this.queuedMs = this.queuedMs * kept + passedMs;
      this.updatedAt = now;
      return;
    }
    if (passedMs > EXPIRY_MS) {
      this.places = 0;
      this.queuedMs = 0;
    }
  }
}
