import {
  Configuration,
  ConfiguredVersion,
  ControlApi,
  EMPTY_CONFIGURATION,
  SycamoreheadError,
} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('configuration');

const RENEW_INTERVAL_MS = 500;

/** What an entry routes on. @public */
export interface ConfigurationReading {
  readonly revision: number;
  readonly noteNumber: number;
  /** Time left on the lease in milliseconds; 0 once it has lapsed. */
  readonly leaseLeftMs: number;
}

/**
 * Holds the configuration under a lease. Time counts on the monotonic clock from when the lease's
 * request was sent, so that a slow answer shortens the lease rather than prolonging it.
 *
 * @public
 */
export class ConfigurationManager {
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private leaseEndsAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(
    private readonly entry: string,
    private readonly control: ControlApi,
  ) {}

  // Commands.

  /** Renews the lease until stopped. */
  start(): void {
    void this.renewForever();
  }

  /** Stops renewing. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  // Queries.

  /**
   * Returns the configuration in force.
   *
   * @throws SycamoreheadError `no_configuration` without a valid lease or before the first note.
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

  /** Reads what this entry routes on. */
  read(): ConfigurationReading {
    return {
      revision: this.configuration.revision,
      noteNumber: this.configuration.noteNumber,
      leaseLeftMs: Math.max(0, this.leaseEndsAt - performance.now()),
    };
  }

  private async renewForever(): Promise<void> {
    while (!this.stopped) {
      const isChanged = await this.renew();
      // A new revision is confirmed at once, so that it is soon known to be in force.
      if (isChanged) continue;
      await new Promise<void>(resolve => {
        this.timer = setTimeout(resolve, RENEW_INTERVAL_MS);
        this.timer.unref();
      });
    }
  }

  private async renew(): Promise<boolean> {
    const sentAt = performance.now();
    try {
      const grant = await this.control.renewLease({
        entry: this.entry,
        confirmedRevision: this.configuration.revision,
      });
      if (grant.revision < this.configuration.revision) return false;
      this.leaseEndsAt = sentAt + grant.leaseMs;
      if (!grant.configuration) return false;
      this.configuration = grant.configuration;
      log('configuration', {revision: grant.revision});
      return true;
    } catch (error) {
      log('lease_not_renewed', {error: String(error)});
      return false;
    }
  }
}
