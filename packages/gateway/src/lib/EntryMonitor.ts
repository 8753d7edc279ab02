import {
  EntryPace,
  computeRefusedShare,
  estimateOwnDelay,
  isEntryOverloaded,
} from '@sycamorehead/routing';
import {writeDecision} from '@sycamorehead/telemetry';

/** Time between two samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 50;
/** Time over which samples are averaged, in milliseconds; one pause of the runtime is no overload. */
const AVERAGE_MS = 1_000;
/** A longer standstill is a freeze of the machine, after which work goes on as before, in milliseconds. */
const FREEZE_MS = 1_500;
/** Time without overload after which the entry is ready again, in milliseconds. */
const RECOVERY_MS = 1_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;
const MS_PER_SECOND = 1_000;

/** Settings of an EntryMonitor. @public */
export interface EntryMonitorOptions {
  /** Bandwidth of the entry's link, in megabits a second; undefined if it is not known. */
  readonly linkMbps: number | undefined;
  /** Counts the bytes that wait for the link. */
  countQueuedBytes(): number;
}

/**
 * Measures how this entry keeps up with its own work: how late its timers fire, and how much is queued
 * for its link.
 *
 * @public
 */
export class EntryMonitor {
  private timer: NodeJS.Timeout | undefined;
  private sampledAt = 0;
  private lastSampleMs = 0;
  private processorDelayMs = 0;
  private linkDelayMs = 0;
  /** When it was last seen overloaded; undefined once it keeps up again. */
  private overloadedAt: number | undefined;

  constructor(private readonly options: EntryMonitorOptions) {}

  // Commands.

  /** Starts to measure. */
  start(): void {
    this.sampledAt = performance.now();
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Stops to measure. */
  stop(): void {
    clearInterval(this.timer);
  }

  // Queries.

  /** How the entry keeps up, averaged over the last second. */
  get pace(): EntryPace {
    const {processorDelayMs, linkDelayMs} = this;
    return {processorDelayMs, linkDelayMs};
  }

  /** Returns whether to take a request with a latency objective, which could be served in time. */
  isTaking(targetLatencyMs: number): boolean {
    return Math.random() >= this.computeRefusedShare(targetLatencyMs);
  }

  /** Computes the share of the requests with a latency objective that are refused. */
  computeRefusedShare(targetLatencyMs: number): number {
    return computeRefusedShare(this.pace, targetLatencyMs);
  }

  /** Whether new callers are better served by any other entry. */
  get isOverloaded(): boolean {
    return this.overloadedAt !== undefined;
  }

  private sample(): void {
    const now = performance.now();
    const elapsedMs = now - this.sampledAt;
    this.sampledAt = now;
    if (elapsedMs > FREEZE_MS) return;
    const sampleMs = Math.max(0, elapsedMs - SAMPLE_INTERVAL_MS);
    // A single pause is followed by a sample that is on time.
    const lateMs = Math.min(sampleMs, this.lastSampleMs);
    this.lastSampleMs = sampleMs;
    const gain = Math.min(1, elapsedMs / AVERAGE_MS);
    this.processorDelayMs += (lateMs - this.processorDelayMs) * gain;
    this.linkDelayMs += (this.measureQueueMs() - this.linkDelayMs) * gain;
    this.updateOverload(now);
  }

  private measureQueueMs(): number {
    const {linkMbps} = this.options;
    if (linkMbps === undefined || linkMbps <= 0) return 0;
    const bits = this.options.countQueuedBytes() * BITS_PER_BYTE;
    return (bits * MS_PER_SECOND) / (linkMbps * BITS_PER_MEGABIT);
  }

  private updateOverload(now: number): void {
    const wasOverloaded = this.isOverloaded;
    if (isEntryOverloaded(this.pace)) this.overloadedAt = now;
    else if (now - (this.overloadedAt ?? now) > RECOVERY_MS) {
      this.overloadedAt = undefined;
    }
    if (this.isOverloaded === wasOverloaded) return;
    writeDecision(wasOverloaded ? 'entry_keeps_up' : 'entry_overloaded', {
      own_delay_ms: Math.round(estimateOwnDelay(this.pace)),
      link_ms: Math.round(this.linkDelayMs),
    });
  }
}
