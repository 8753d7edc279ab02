import {randomBytes} from 'node:crypto';
import {
  Configuration,
  ConfiguredVersion,
  ControlApi,
  EMPTY_CONFIGURATION,
  LeaseGrant,
  SycamoreheadError,
  applyConfigurationDelta,
} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('configuration');

const INCARNATION_BYTES = 8;
const RENEW_INTERVAL_MS = 750;
const RETRY_INTERVAL_MS = 100;
const WATCH_TIMEOUT_MS = 5_000;
const WATCH_RETRY_INTERVAL_MS = 500;
/** Minimum time between two calls that wait for a new revision, in milliseconds. */
const WATCH_PAUSE_MS = 50;

/** The state of the configuration and of the lease of an entry. @public */
export interface ConfigurationStatus {
  readonly revision: number;
  readonly noteNumber: number;
  /** Time left on the lease in milliseconds; 0 once it has expired. */
  readonly leaseLeftMs: number;
}

/** The outcome of a renewal, which determines the pause until the next one. */
type RenewalOutcome = 'renewed' | 'changed' | 'failed';

const PAUSE_MS: Readonly<Record<RenewalOutcome, number>> = {
  renewed: RENEW_INTERVAL_MS,
  // A new revision is confirmed at once, so that control soon knows that it is in force.
  changed: 0,
  failed: RETRY_INTERVAL_MS,
};

/**
 * Maintains the configuration and the lease on it. The lease is timed on the monotonic clock from
 * the time its request was sent, so that a slow response shortens the lease rather than extending
 * it. One task renews the lease; another waits for the next revision and wakes the first.
 *
 * @public
 */
export class ConfigurationManager {
  private readonly incarnation =
    randomBytes(INCARNATION_BYTES).toString('base64url');
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private leaseEndsAt = -Infinity;
  private needsWhole = false;
  private endPause: (() => void) | undefined;
  private stopped = false;

  constructor(
    private readonly entry: string,
    private readonly control: ControlApi,
  ) {}

  // Commands.

  /** Starts to renew the lease, until stopped. */
  start(): void {
    void this.renewForever();
    void this.watchForever();
  }

  /** Stops renewing. */
  stop(): void {
    this.stopped = true;
    this.endPause?.();
  }

  // Queries.

  /**
   * Returns the configuration in force.
   *
   * @throws SycamoreheadError `no_configuration` if there is no valid lease or no note yet.
   */
  get(): Configuration {
    if (this.configuration.revision === 0) {
      throw new SycamoreheadError(
        'no_configuration',
        'no configuration has been received yet',
      );
    }
    if (performance.now() >= this.leaseEndsAt) {
      throw new SycamoreheadError(
        'no_configuration',
        'the configuration lease has lapsed',
      );
    }
    return this.configuration;
  }

  /** Finds a version of the newest known configuration, whether or not the lease is valid. */
  findVersion(key: string): ConfiguredVersion | undefined {
    return this.configuration.versions[key];
  }

  /** Returns the revision that this entry uses and the time left on its lease. */
  getStatus(): ConfigurationStatus {
    return {
      revision: this.configuration.revision,
      noteNumber: this.configuration.noteNumber,
      leaseLeftMs: Math.max(0, this.leaseEndsAt - performance.now()),
    };
  }

  private async renewForever(): Promise<void> {
    while (!this.stopped) {
      const outcome = await this.renew();
      if (PAUSE_MS[outcome] > 0) await this.pause(PAUSE_MS[outcome]);
    }
  }

  private async watchForever(): Promise<void> {
    while (!this.stopped) {
      const knownRevision = this.configuration.revision;
      try {
        const {revision} = await this.control.watchRevision({
          knownRevision,
          waitMs: WATCH_TIMEOUT_MS,
        });
        if (revision > knownRevision) this.endPause?.();
        await sleep(WATCH_PAUSE_MS);
      } catch (error) {
        log('watch_failed', {error: String(error)});
        await sleep(WATCH_RETRY_INTERVAL_MS);
      }
    }
  }

  private async pause(ms: number): Promise<void> {
    if (this.stopped) return;
    await Promise.race([
      sleep(ms),
      new Promise<void>(resolve => (this.endPause = resolve)),
    ]);
    this.endPause = undefined;
  }

  private async renew(): Promise<RenewalOutcome> {
    const sentAt = performance.now();
    try {
      const grant = await this.control.renewLease({
        entry: this.entry,
        incarnation: this.incarnation,
        confirmedRevision: this.configuration.revision,
        ...(this.needsWhole && {needsWhole: true}),
      });
      return this.acceptGrant(grant, sentAt);
    } catch (error) {
      log('lease_not_renewed', {error: String(error)});
      return 'failed';
    }
  }

  private acceptGrant(grant: LeaseGrant, sentAt: number): RenewalOutcome {
    if (this.stopped || grant.revision < this.configuration.revision) {
      return 'failed';
    }
    const next = this.resolveConfiguration(grant);
    if (!next) {
      // The lease is for a configuration that this entry lacks, so it is rejected and the whole
      // configuration is requested next.
      this.needsWhole = true;
      log('delta_rejected', {revision: grant.revision});
      return 'failed';
    }
    const isChanged = next.revision !== this.configuration.revision;
    this.needsWhole = false;
    this.configuration = next;
    this.leaseEndsAt = Math.max(this.leaseEndsAt, sentAt + grant.leaseMs);
    if (!isChanged) return 'renewed';
    log('configuration_changed', {revision: grant.revision});
    return 'changed';
  }

  private resolveConfiguration(grant: LeaseGrant): Configuration | undefined {
    const {configuration, delta, revision} = grant;
    if (configuration) return configuration;
    if (delta) return applyConfigurationDelta(this.configuration, delta);
    return revision === this.configuration.revision
      ? this.configuration
      : undefined;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms).unref();
  });
}
