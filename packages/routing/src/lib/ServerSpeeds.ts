/** Share of a new sample in the mean. */
const GAIN = 0.25;
/** A sample counts at most this many times the mean, so that one outlier moves it little. */
const MAX_STEP = 4;
/** Measurements older than this are no longer told to peers, in milliseconds. */
const FRESH_MS = 1_500;
/** Time in which an unrefreshed measurement loses half its distance to the others, in milliseconds. */
const HALF_LIFE_MS = 4_000;
const MAX_SERVERS = 4_096;
const DEFAULT_TOKEN_MS = 15;

/** Time between tokens of one server, as one entry measured it. @public */
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
 * Time between tokens for each server, from this entry's own streams and from those of its peers.
 *
 * @public
 */
export class ServerSpeeds {
  private readonly speeds = new Map<string, Speed>();
  /** Newest fresh median over all views, kept for the time when no view is fresh. */
  private readonly pooled = new Map<string, Speed>();

  /** Peers' views of a server; set by the exchange between entries. */
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
    const bounded = Math.min(gapMs, speed.tokenMs * MAX_STEP);
    speed.tokenMs = Math.max(
      0.1,
      speed.tokenMs + GAIN * (bounded - speed.tokenMs),
    );
    speed.at = now;
  }

  /** Remembers what all views say of a server now. */
  update(server: string): void {
    const median = computeMedian(
      this.listFreshViews(server).map(({tokenMs}) => tokenMs),
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
   * Estimates the time between tokens of a server: the slower of the own view and the median of all
   * views, so that no single entry's view decides for the others. Without fresh views the last own
   * measurement fades towards the typical one.
   */
  estimateTokenMs(server: string, typicalMs: number): number {
    const views = this.listFreshViews(server);
    const median = computeMedian(views.map(({tokenMs}) => tokenMs));
    if (median !== undefined) {
      return Math.max(this.readOwn(server)?.tokenMs ?? 0, median);
    }
    const old = this.pooled.get(server) ?? this.speeds.get(server);
    if (!old) return typicalMs;
    const ageMs = performance.now() - old.at;
    const kept = 0.5 ** (ageMs / HALF_LIFE_MS);
    return typicalMs + (old.tokenMs - typicalMs) * kept;
  }

  /** Age of the newest view of a server, own or a peer's; infinite without any, in milliseconds. */
  readMeasurementAgeMs(server: string): number {
    const now = performance.now();
    const newest = Math.max(
      this.speeds.get(server)?.at ?? -Infinity,
      this.pooled.get(server)?.at ?? -Infinity,
    );
    return now - newest;
  }

  /** Computes the typical time between tokens over servers. */
  computeTypicalTokenMs(servers: readonly string[]): number {
    const measured = servers
      .map(
        server =>
          this.pooled.get(server)?.tokenMs ?? this.speeds.get(server)?.tokenMs,
      )
      .filter(tokenMs => tokenMs !== undefined);
    return computeMedian(measured) ?? DEFAULT_TOKEN_MS;
  }

  private listFreshViews(server: string): SpeedMeasurement[] {
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
