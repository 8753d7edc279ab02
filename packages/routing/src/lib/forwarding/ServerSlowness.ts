import {limitTimeRatio} from './limitTimeRatio.js';

/** Weight of the newest answer in the slowness of its server, and in that of its service. */
const GAIN = 0.15;
/** Turns in which what is known of a server that gets none of the answers decays to 1/e. */
const DECAY_TURNS = 4;

/**
 * What the answer times of all servers of a service have in common, as one entry sees them.
 *
 * @public
 */
export class ServiceSlowness {
  private serverCount = 0;
  private turnCount = 0;
  /** Logarithm of the geometric mean of the latest time ratios. */
  private typicalLog: number | undefined;

  // Commands.

  /** Adds a server that shares the answers. */
  addServer(): void {
    this.serverCount += 1;
  }

  /** Removes a server that shared the answers. */
  removeServer(): void {
    this.serverCount -= 1;
  }

  /**
   * Records the time ratio of an answer of any server, and returns its ratio to the latest ones. What made
   * all of them slower or faster since then says nothing of the server.
   */
  recordRatio(timeRatio: number): number {
    const log = Math.log(limitTimeRatio(timeRatio));
    const typicalLog = this.typicalLog ?? log;
    this.typicalLog = typicalLog + (log - typicalLog) * GAIN;
    this.turnCount += 1 / Math.max(1, this.serverCount);
    return limitTimeRatio(Math.exp(log - this.typicalLog));
  }

  // Queries.

  /** Number of answers that each server would have given by now if they shared them equally. */
  get turns(): number {
    return this.turnCount;
  }
}

/**
 * Learns how slow a server is, relative to its service, from the answers that one entry gets. A server that
 * is passed over counts more and more as a typical one: otherwise one old answer that was slow, or better
 * ones of the others since, would keep it idle for good.
 *
 * @public
 */
export class ServerSlowness {
  private latest = 1;
  /** Turns of the service when this server last answered. */
  private recordedAt = 0;

  /** Creates the slowness of a server of which nothing is known, and adds it to its service. */
  constructor(private readonly service: ServiceSlowness) {
    service.addServer();
  }

  // Commands.

  /** Records the ratio of an answer's time to the time expected of any server. */
  recordRatio(timeRatio: number): void {
    if (!Number.isFinite(timeRatio)) return;
    const {value} = this;
    const ratio = this.service.recordRatio(timeRatio);
    this.latest = value + (ratio - value) * GAIN;
    this.recordedAt = this.service.turns;
  }

  /** Removes the server from its service. */
  remove(): void {
    this.service.removeServer();
  }

  // Queries.

  /**
   * Its answer times relative to those of its service; 1 is typical.
   *
   * @example
   * ```ts
   * slowness.recordRatio(3);
   * slowness.value; // 1.2 if the answers of the others had a ratio of 1
   * ```
   */
  get value(): number {
    const turns = this.service.turns - this.recordedAt;
    return 1 + (this.latest - 1) * Math.exp(-turns / DECAY_TURNS);
  }
}
