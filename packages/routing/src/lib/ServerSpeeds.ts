/** Weight of a new sample in the mean. */
const GAIN = 0.25;
/** A sample is capped at this multiple of the mean, so that one outlier changes the mean little. */
const MAX_SAMPLE_FACTOR = 4;
/** Measurements older than this are not fresh and not reported to peers, in milliseconds. */
const FRESH_MS = 1_500;
/**
 * The half-life with which a measurement that is not fresh decays towards the typical time, in
 * milliseconds.
 */
const HALF_LIFE_MS = 4_000;
const MAX_SERVERS = 4_096;
const DEFAULT_TOKEN_MS = 15;

/** One entry's measurement of the time between tokens of one server. @public */
export interface SpeedMeasurement {
  readonly tokenMs: number;
  /** Age of the newest sample, in milliseconds. */
  readonly ageMs: number;
}

interface Speed {
  tokenMs: number;
  at: number;
}

/**
 * Estimates the time between tokens of each server from the streams of this entry and of its
 * peers.
 *
 * @public
 */
export class ServerSpeeds {
  private readonly speeds = new Map<string, Speed>();
  /** The latest median of all fresh measurements, used while no measurement is fresh. */
  private readonly pooled = new Map<string, Speed>();

  /** Lists the peers' measurements of a server; set by the routing context. */
  listPeerMeasurements: (server: string) => SpeedMeasurement[] = () => [];

  // Commands.

  /** Learns from the time between tokens of one stream. */
  record(server: string, gapMs: number): void {
    const now = performance.now();
    const speed = this.speeds.get(server);
    if (!speed) {
      if (this.speeds.size >= MAX_SERVERS) this.speeds.clear();
      this.speeds.set(server, {tokenMs: Math.max(gapMs, 1), at: now});
      return;
    }
    const bounded = Math.min(gapMs, speed.tokenMs * MAX_SAMPLE_FACTOR);
    speed.tokenMs = Math.max(
      0.1,
      speed.tokenMs + GAIN * (bounded - speed.tokenMs),
    );
    speed.at = now;
  }

  /** Stores the current median of all fresh measurements of a server. */
  update(server: string): void {
    const median = computeMedian(
      this.listFreshMeasurements(server).map(({tokenMs}) => tokenMs),
    );
    if (median === undefined) return;
    if (this.pooled.size >= MAX_SERVERS) this.pooled.clear();
    this.pooled.set(server, {tokenMs: median, at: performance.now()});
  }

  // Queries.

  /** Reads this entry's own fresh measurement of a server. */
  readOwn(server: string): SpeedMeasurement | undefined {
    const speed = this.speeds.get(server);
    if (!speed) return undefined;
    const ageMs = performance.now() - speed.at;
    return ageMs <= FRESH_MS ? {tokenMs: speed.tokenMs, ageMs} : undefined;
  }

  /**
   * Estimates the time between tokens of a server as the slower of this entry's own measurement
   * and the median of all measurements, so that no single entry's measurement decides for the
   * others. Without fresh measurements the last known value decays towards the typical one.
   */
  estimateTokenMs(server: string, typicalMs: number): number {
    const measurements = this.listFreshMeasurements(server);
    const median = computeMedian(measurements.map(({tokenMs}) => tokenMs));
    if (median !== undefined) {
      return Math.max(this.readOwn(server)?.tokenMs ?? 0, median);
    }
    const old = this.pooled.get(server) ?? this.speeds.get(server);
    if (!old) return typicalMs;
    const ageMs = performance.now() - old.at;
    const decay = 0.5 ** (ageMs / HALF_LIFE_MS);
    return typicalMs + (old.tokenMs - typicalMs) * decay;
  }

  /**
   * Returns the age of the newest measurement of a server, by this entry or a peer, in
   * milliseconds; infinite without any.
   */
  readMeasurementAgeMs(server: string): number {
    const now = performance.now();
    const newest = Math.max(
      this.speeds.get(server)?.at ?? -Infinity,
      this.pooled.get(server)?.at ?? -Infinity,
    );
    return now - newest;
  }

  /** Computes the median time between tokens of the servers, or a default without measurements. */
  computeTypicalTokenMs(servers: readonly string[]): number {
    const measured = servers
      .map(
        server =>
          this.pooled.get(server)?.tokenMs ?? this.speeds.get(server)?.tokenMs,
      )
      .filter(tokenMs => tokenMs !== undefined);
    return computeMedian(measured) ?? DEFAULT_TOKEN_MS;
  }

  private listFreshMeasurements(server: string): SpeedMeasurement[] {
    const own = this.readOwn(server);
    const peers = this.listPeerMeasurements(server).filter(
      ({ageMs}) => ageMs <= FRESH_MS,
    );
    return own ? [...peers, own] : peers;
  }
}

/**
 * Computes the lower median; undefined for an empty list.
 *
 * @example
 * ```ts
 * computeMedian([3, 1, 2]); // 2
 * ```
 * @public
 */
export function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
