/** Permits that may accumulate while nobody wants them, at high rates, as a time in milliseconds. */
const BURST_MS = 250;
const MS_PER_SECOND = 1_000;

/**
 * Grants permits at a rate that may change. It starts with a random part of a permit: on average, a
 * control instance that restarts grants neither more nor less than one that does not.
 *
 * @public
 */
export class PermitBucket {
  private tokens = Math.random();
  private filledAt = performance.now();

  constructor(private readonly burstMs = BURST_MS) {}

  /** Takes up to `wanted` permits at a rate of `perSecond`, and returns their number. */
  take(wanted: number, perSecond: number): number {
    const now = performance.now();
    const burst = Math.max(1, (perSecond * this.burstMs) / MS_PER_SECOND);
    const added = ((now - this.filledAt) * perSecond) / MS_PER_SECOND;
    this.filledAt = now;
    this.tokens = Math.min(burst, this.tokens + added);
    const taken = Math.min(wanted, Math.floor(this.tokens));
    this.tokens -= taken;
    return taken;
  }
}
