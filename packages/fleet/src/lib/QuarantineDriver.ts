import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {CrashPool} from './CrashPool.js';
import type {LogMember} from './LogMember.js';

const log = createLogger('fleet');

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Time for which a prompt segment stays in quarantine, in milliseconds. */
const QUARANTINE_MS = 15 * 60_000;

/** Dependencies of a QuarantineDriver. @public */
export interface QuarantineDriverOptions {
  readonly logMember: LogMember;
  readonly crashPool: CrashPool;
}

/**
 * Puts prompt segments under which backend servers crash into quarantine, and releases them after a
 * while, as long as this instance leads. Both are committed, so that a quarantine outlives all
 * processes.
 *
 * @public
 */
export class QuarantineDriver {
  /** Since when this leader knows each quarantine, on the monotonic clock. */
  private readonly knownSince = new Map<string, number>();
  private isStopped = false;

  constructor(private readonly options: QuarantineDriverOptions) {}

  /** Checks the suspects at intervals until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
      if (!this.options.logMember.isLeader) {
        this.knownSince.clear();
        continue;
      }
      try {
        await this.quarantineConvicted();
        await this.releaseExpired();
      } catch (error) {
        log('quarantine_failed', {error: String(error)});
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async quarantineConvicted(): Promise<void> {
    const {logMember, crashPool} = this.options;
    for (const {segments, crashes} of crashPool.listConvicted()) {
      if (logMember.state.isQuarantined(segments)) continue;
      const quarantined = {segments, crashes, durationMs: QUARANTINE_MS};
      await logMember.propose({type: 'quarantine_segments', quarantined});
      writeDecision('segments_quarantined', {
        segments: segments.join(','),
        crashes,
        servers: crashPool.listCrashed(segments).join(','),
        duration_ms: QUARANTINE_MS,
      });
    }
  }

  private async releaseExpired(): Promise<void> {
    const {logMember} = this.options;
    const now = performance.now();
    const listed = logMember.state.listQuarantined();
    const keys = new Set(listed.map(({segments}) => segments.join(',')));
    for (const key of this.knownSince.keys()) {
      if (!keys.has(key)) this.knownSince.delete(key);
    }
    for (const {segments, durationMs} of listed) {
      const key = segments.join(',');
      const since = this.knownSince.get(key) ?? now;
      this.knownSince.set(key, since);
      if (now - since < durationMs) continue;
      await logMember.propose({type: 'release_segments', segments});
      writeDecision('segments_released', {segments: key, reason: 'expired'});
    }
  }
}
