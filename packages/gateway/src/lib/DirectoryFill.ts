import type {FleetUpdate} from '@sycamorehead/fleet';
import {writeDecision} from '@sycamorehead/telemetry';

/**
 * What each server that has registered may get, relative to an equal share of the requests. More than one,
 * since their number is an estimate.
 */
const MAX_SHARE = 1.4;
/** Maximum number of services whose requests are counted while the directory fills. */
const MAX_SERVICES = 200;

/** The requests of one service since the directory began to fill. */
interface ServiceCount {
  asked: number;
  sent: number;
  /** By how much of a request the next one has to be due; drawn, so that entries do not send in step. */
  threshold: number;
}

/**
 * Spreads requests over the time in which the backend servers register again after all control instances
 * have restarted. Servers register evenly over that time, so that the fraction that is known grows with it;
 * without a bound, the requests of all entries would go to the first one.
 *
 * @public
 */
export class DirectoryFill {
  /** When the oldest directory that was told began to fill, on the monotonic clock. */
  private since = Infinity;
  private fillMs = 0;
  private readonly counts = new Map<string, ServiceCount>();

  // Commands.

  /** Applies an update from a control instance; the one that has run for longest knows most servers. */
  update({directory}: FleetUpdate): void {
    if (!directory) return;
    const since = performance.now() - directory.ageMs;
    if (since >= this.since) return;
    this.since = since;
    this.fillMs = directory.fillMs;
    if (!this.isFilling) return;
    writeDecision('directory_fills', {
      age_ms: Math.round(directory.ageMs),
      fill_ms: directory.fillMs,
    });
  }

  /** Records a request for a service. */
  recordRequest(service: string): void {
    if (!this.isFilling) return;
    const count = this.counts.get(service) ?? buildCount();
    count.asked += 1;
    if (this.counts.size < MAX_SERVICES) this.counts.set(service, count);
  }

  /** Records that a request of a service has got its server. */
  recordSend(service: string): void {
    const count = this.counts.get(service);
    if (!count) return;
    count.sent += 1;
    count.threshold = Math.random();
    if (!this.isFilling) this.counts.clear();
  }

  // Queries.

  /** Whether servers that run may not have registered yet. */
  get isFilling(): boolean {
    return this.knownFraction < 1;
  }

  /** Returns whether the next request of a service waits until more servers have registered. */
  isHeld(service: string): boolean {
    const fraction = this.knownFraction;
    if (fraction >= 1) return false;
    const count = this.counts.get(service);
    if (!count) return false;
    return count.sent + count.threshold > count.asked * fraction;
  }

  /** The fraction of the requests for which the servers known by now suffice. */
  private get knownFraction(): number {
    const ageMs = performance.now() - this.since;
    // No control instance has told how old its directory is.
    if (ageMs < 0) return 1;
    return Math.min(1, (MAX_SHARE * ageMs) / Math.max(1, this.fillMs));
  }
}

function buildCount(): ServiceCount {
  return {asked: 0, sent: 0, threshold: Math.random()};
}
