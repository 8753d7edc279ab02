import {createLogger} from '@sycamorehead/telemetry';
import type {PeerLink} from '@sycamorehead/wire';
import {FLEET_METHODS, StoredConfiguration} from './fleetMessages.js';

const log = createLogger('fleet');

/** A fetch whose link receives less than `PROGRESS_BYTES` in this time is stalled, in milliseconds. */
const STALL_MS = 500;
/** More than the heartbeats that a link receives in `STALL_MS`. */
const PROGRESS_BYTES = 16 * 1024;
/** Time after which a control instance that sends other messages but no reply has failed, in milliseconds. */
const MAX_FETCH_MS = 60_000;

/** A control instance from which a configuration can be fetched. @internal */
export interface ConfigurationSource {
  readonly address: string;
  link: PeerLink | undefined;
  /** Version that the instance has announced. */
  configurationVersion: number;
  /** Whether the instance is in the entry's own data centre. */
  isNear: boolean;
}

/** Settings of a ConfigurationFetcher. @internal */
export interface ConfigurationFetcherOptions {
  listSources(): Iterable<ConfigurationSource>;
  /** Called with each configuration of a higher version than the last one. */
  onConfiguration(configuration: StoredConfiguration): void;
}

interface Fetch {
  isStalled: boolean;
}

/**
 * Fetches configurations that control instances have announced, from one instance at a time. How long a
 * transfer takes is not limited; another instance is asked too while every fetch under way is stalled.
 *
 * @internal
 */
export class ConfigurationFetcher {
  private version = 0;
  private readonly fetches = new Map<ConfigurationSource, Fetch>();
  private readonly failedAt = new Map<string, number>();

  constructor(private readonly options: ConfigurationFetcherOptions) {}

  // Commands.

  /** Starts a fetch if a newer version is announced and no fetch under way makes progress. */
  fetchNewer(): void {
    const isProgressing = [...this.fetches.values()].some(
      ({isStalled}) => !isStalled,
    );
    if (isProgressing) return;
    const source = this.chooseSource();
    if (source?.link) void this.fetch(source, source.link);
  }

  private async fetch(
    source: ConfigurationSource,
    link: PeerLink,
  ): Promise<void> {
    const fetch: Fetch = {isStalled: false};
    const announced = source.configurationVersion;
    this.fetches.set(source, fetch);
    const timer = this.watchProgress(fetch, link);
    try {
      const stored = await link.request<StoredConfiguration>(
        FLEET_METHODS.fetchConfiguration,
        {},
        MAX_FETCH_MS,
      );
      // An instance whose disk was erased meanwhile has less than it had announced.
      const isLess = stored.version < announced;
      if (isLess && source.configurationVersion === announced) {
        source.configurationVersion = stored.version;
      }
      this.failedAt.delete(source.address);
      this.acceptConfiguration(stored);
    } catch (error) {
      log('fetch_failed', {control: source.address, error: String(error)});
      this.failedAt.set(source.address, performance.now());
      // A link over which a configuration cannot be fetched is replaced.
      link.close('fetch failed');
    } finally {
      clearInterval(timer);
      this.fetches.delete(source);
    }
    this.fetchNewer();
  }

  private watchProgress(fetch: Fetch, link: PeerLink): NodeJS.Timeout {
    let seenBytes = link.receivedBytes;
    const check = () => {
      fetch.isStalled = link.receivedBytes - seenBytes < PROGRESS_BYTES;
      seenBytes = link.receivedBytes;
      if (fetch.isStalled) this.fetchNewer();
    };
    // After the reads, so that bytes that came while this process was busy count.
    return setInterval(() => setImmediate(check), STALL_MS);
  }

  private acceptConfiguration(stored: StoredConfiguration): void {
    if (stored.version <= this.version) return;
    this.version = stored.version;
    this.options.onConfiguration(stored);
  }

  // Queries.

  /** Chooses the instance with the newest version; one whose last fetch has failed comes last. */
  private chooseSource(): ConfigurationSource | undefined {
    const getFailedAt = ({address}: ConfigurationSource) =>
      this.failedAt.get(address) ?? 0;
    return [...this.options.listSources()]
      .filter(
        source =>
          source.link?.isClosed === false &&
          source.configurationVersion > this.version &&
          !this.fetches.has(source),
      )
      .sort(
        (left, right) =>
          getFailedAt(left) - getFailedAt(right) ||
          right.configurationVersion - left.configurationVersion ||
          Number(right.isNear) - Number(left.isNear),
      )[0];
  }
}
