import {
  COLD_PERMIT_MS,
  ColdReply,
  ColdReport,
  ExchangeReply,
} from '@sycamorehead/fleet';
import {SendPermits} from '@sycamorehead/routing';
import {
  RoutedService,
  ServerRegistration,
  ServerWarmup,
  buildIncarnationKey,
  getOrCreate,
} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import {LineIntervals} from './LineIntervals.js';

/** Maximum number of incarnations that are tracked; the oldest are removed first. */
const MAX_INCARNATIONS = 20_000;
/** Longest coldness that is believed of one heartbeat, in milliseconds; the next may end it. */
const MAX_TOLD_MS = 10 * 60_000;
/** Longest coldness that is believed of one answer, in milliseconds; no heartbeat ends it. */
const MAX_NOTICED_MS = 60_000;
/** Maximum number of permits that are wanted of one server at a time. */
const MAX_WANTED = 20;
/** Advance of the time of day over the monotonic clock from which the process has slept, in ms. */
const SLEEP_MS = 100;

type Incarnation = Pick<ServerRegistration, 'id' | 'startedAtMs'>;
type ServiceServer = Incarnation & Pick<ServerRegistration, 'service'>;

interface ColdState {
  /** The time until which the server is cold by its last heartbeat, on the monotonic clock. */
  toldUntil: number;
  /** The time until which it is cold by the head of an answer. */
  noticedUntil: number;
  /** The time until which it may be cold without having said so. */
  expectedUntil: number;
  /** Sequence of its last registration when that was expected. */
  expectedSequence: number;
  readonly permits: SendPermits;
}

/** A permit that is taken for a send to a cold server. @public */
export interface ColdPermit {
  readonly expiresAt: number;
  /** Number of times that the process had slept. */
  readonly sleeps: number;
}

/** Numbers of permits since they were last read. @public */
export interface ColdCounts {
  readonly wanted: number;
  readonly granted: number;
  readonly used: number;
}

/**
 * The backend servers that are cold, and the sends to them that this entry may make. What a cold server
 * bears holds for all entries together: control instances grant the sends, and an entry without grants
 * makes none.
 *
 * @public
 */
export class ColdServers {
  private warmups: ReadonlyMap<string, ServerWarmup> = new Map();
  /** Servers that are cold or were, by incarnation. */
  private readonly states = new Map<string, ColdState>();
  /** Requests since the last report, by service. */
  private readonly demand = new Map<string, number>();
  private readonly lines = new LineIntervals(MAX_INCARNATIONS);
  private counts = {wanted: 0, granted: 0, used: 0};
  /** The time of day less the monotonic clock, in milliseconds. */
  private clockOffset = computeClockOffset();
  private sleeps = 0;
  private sleepsAtReport = 0;

  // Commands.

  /** Applies the services of the configuration in force. */
  setServices(services: readonly RoutedService[]): void {
    this.warmups = new Map(
      services.flatMap(({name, warmup}) => (warmup ? [[name, warmup]] : [])),
    );
  }

  /** Records a registration that is newer than the last one of its server. */
  recordRegistration(registration: ServerRegistration): void {
    const {slowStartMs = 0, sequence} = registration;
    const key = buildIncarnationKey(registration);
    const wasCold = this.isCold(registration);
    if (slowStartMs <= 0 && !this.states.has(key)) return;
    const state = this.getState(key);
    state.toldUntil = performance.now() + Math.min(MAX_TOLD_MS, slowStartMs);
    if (sequence > state.expectedSequence) state.expectedUntil = -Infinity;
    this.logChange(registration, wasCold, 'heartbeat');
  }

  /**
   * Records that an answer says how long its server stays cold. It does not tell when it was written,
   * so that no heartbeat ends it.
   */
  recordNotice(server: ServiceServer, leftMs: number | undefined): void {
    if (leftMs === undefined || leftMs <= 0) return;
    const wasCold = this.isCold(server);
    const state = this.getState(buildIncarnationKey(server));
    const until = performance.now() + Math.min(MAX_NOTICED_MS, leftMs);
    state.noticedUntil = Math.max(state.noticedUntil, until);
    this.logChange(server, wasCold, 'answer');
  }

  /**
   * Records servers that may have become cold without having said so: until a newer heartbeat, or for
   * the warm-up of their service.
   *
   * @example
   * ```ts
   * cold.expectCold(registrationsOfDataCentre); // its evacuation has ended
   * ```
   */
  expectCold(registrations: readonly ServerRegistration[]): void {
    for (const registration of registrations) {
      const durationMs = this.warmups.get(registration.service)?.durationMs;
      if (durationMs === undefined || durationMs <= 0) continue;
      const wasCold = this.isCold(registration);
      const state = this.getState(buildIncarnationKey(registration));
      state.expectedUntil = performance.now() + durationMs;
      state.expectedSequence = registration.sequence;
      this.logChange(registration, wasCold, 'expected');
    }
  }

  /** Records that a request for a service has been received. */
  recordDemand(service: string): void {
    if (this.states.size === 0) return;
    this.demand.set(service, (this.demand.get(service) ?? 0) + 1);
  }

  /** Applies the reply to the last report, which was sent at a time. */
  applyReply(
    {coldPermits, isIsolated}: ColdReply & Pick<ExchangeReply, 'isIsolated'>,
    sentAt: number,
  ): void {
    this.checkClock();
    if (!coldPermits || isIsolated || this.sleeps !== this.sleepsAtReport) {
      return;
    }
    for (const [key, count] of Object.entries(coldPermits)) {
      const state = this.states.get(key);
      if (!state || !(count > 0 && count <= MAX_WANTED)) continue;
      state.permits.add(count, sentAt);
      this.counts.granted += count;
    }
  }

  /** Takes a permit for a send to a server; undefined if the server is not cold or has none left. */
  takePermit(server: ServiceServer): ColdPermit | undefined {
    if (!this.isCold(server)) return undefined;
    const expiresAt = this.findPermits(server)?.take();
    if (expiresAt === undefined) return undefined;
    this.counts.used += 1;
    return {expiresAt, sleeps: this.sleeps};
  }

  /** Gives back a permit whose send did not reach its server, or was not counted by it. */
  restorePermit(server: ServiceServer, permit: ColdPermit): void {
    if (!this.isValid(permit)) return;
    const state = this.states.get(buildIncarnationKey(server));
    state?.permits.restore(permit.expiresAt);
    this.counts.used -= 1;
  }

  /** Removes an incarnation that is no longer listed. */
  remove(server: Incarnation): void {
    this.states.delete(buildIncarnationKey(server));
  }

  /**
   * Builds the report of the permits that this entry wants: as many as requests came since the last one
   * or wait, less those in hand, spread over the cold servers that can take a request.
   */
  takeReport(
    servers: readonly ServerRegistration[],
    countWaiting: (service: string) => number,
  ): ColdReport {
    this.checkClock();
    this.dropWarm();
    this.sleepsAtReport = this.sleeps;
    const wanted: Record<string, number> = {};
    for (const service of new Set(servers.map(server => server.service))) {
      const waiting = countWaiting(service);
      const requests = (this.demand.get(service) ?? 0) + waiting;
      const cold = servers.filter(server => server.service === service);
      this.addWanted(wanted, service, cold, requests);
    }
    this.demand.clear();
    return servers.length === 0 ? {} : {coldWanted: wanted};
  }

  /** Returns the numbers of permits since they were last read. */
  takeCounts(): ColdCounts {
    const {counts} = this;
    this.counts = {wanted: 0, granted: 0, used: 0};
    return counts;
  }

  // Queries.

  /** Returns whether a server is cold and its service bounds the sends to it. */
  isCold(server: ServiceServer): boolean {
    if (this.states.size === 0 || !this.warmups.has(server.service)) {
      return false;
    }
    const state = this.states.get(buildIncarnationKey(server));
    return state !== undefined && getColdUntil(state) > performance.now();
  }

  /** Returns whether a request may be sent to a server now, as far as it is cold. */
  isPermitted(server: ServiceServer): boolean {
    if (!this.isCold(server)) return true;
    if (this.hasSlept(computeClockOffset())) return false;
    const state = this.states.get(buildIncarnationKey(server));
    return state?.permits.isAvailable() ?? false;
  }

  /** Returns whether a send may still be made that was planned with a permit, or without one. */
  isConfirmed(server: ServiceServer, permit: ColdPermit | undefined): boolean {
    if (!this.isCold(server)) return true;
    return permit !== undefined && this.isValid(permit);
  }

  /** Counts the incarnations that are cold now. */
  countCold(): number {
    const now = performance.now();
    return [...this.states.values()].filter(state => getColdUntil(state) > now)
      .length;
  }

  /** Forgets the servers whose time is over. */
  private dropWarm(): void {
    const now = performance.now();
    for (const [incarnation, state] of this.states) {
      if (getColdUntil(state) > now) continue;
      this.states.delete(incarnation);
      if (!this.lines.admit(incarnation)) continue;
      writeDecision('server_warm', {incarnation, source: 'time'});
    }
  }

  private addWanted(
    wanted: Record<string, number>,
    service: string,
    cold: readonly ServerRegistration[],
    requests: number,
  ): void {
    const held = cold.reduce((sum, server) => sum + this.countHeld(server), 0);
    const most = cold.length * MAX_WANTED;
    const missing = Math.min(most, Math.max(0, requests - held));
    const first = Math.floor(Math.random() * cold.length);
    for (let index = 0; index < missing; index += 1) {
      const server = cold[(first + index) % cold.length];
      if (!server) continue;
      const key = buildIncarnationKey(server);
      wanted[key] = (wanted[key] ?? 0) + 1;
    }
    this.counts.wanted += missing;
    if (missing > 0 && this.lines.admit(service)) {
      writeDecision('cold_permits', {
        service,
        cold: cold.length,
        held,
        requests,
        wanted: missing,
      });
    }
  }

  private countHeld(server: ServiceServer): number {
    return this.findPermits(server)?.countGranted() ?? 0;
  }

  /** Finds the permits of a server that have not expired. */
  private findPermits(server: Incarnation): SendPermits | undefined {
    this.checkClock();
    const permits = this.states.get(buildIncarnationKey(server))?.permits;
    permits?.advance();
    return permits;
  }

  private isValid({expiresAt, sleeps}: ColdPermit): boolean {
    this.checkClock();
    return sleeps === this.sleeps && expiresAt > performance.now();
  }

  /** Drops all permits if the machine was suspended, for which the monotonic clock may stand still. */
  private checkClock(): void {
    const offset = computeClockOffset();
    const hasSlept = this.hasSlept(offset);
    this.clockOffset = offset;
    if (!hasSlept) return;
    this.sleeps += 1;
    for (const {permits} of this.states.values()) permits.clear();
  }

  /** Returns whether the machine was suspended since the clocks were last compared. */
  private hasSlept(offset: number): boolean {
    return offset - this.clockOffset > SLEEP_MS;
  }

  private getState(key: string): ColdState {
    return getOrCreate<string, ColdState>(
      this.states,
      key,
      MAX_INCARNATIONS,
      () => ({
        toldUntil: -Infinity,
        noticedUntil: -Infinity,
        expectedUntil: -Infinity,
        expectedSequence: -1,
        permits: new SendPermits(COLD_PERMIT_MS),
      }),
    );
  }

  private logChange(
    server: ServiceServer,
    wasCold: boolean,
    source: 'heartbeat' | 'answer' | 'expected',
  ): void {
    const isCold = this.isCold(server);
    const incarnation = buildIncarnationKey(server);
    if (isCold === wasCold || !this.lines.admit(incarnation)) return;
    const state = this.getState(incarnation);
    const leftMs = Math.max(0, getColdUntil(state) - performance.now());
    writeDecision(isCold ? 'server_cold' : 'server_warm', {
      incarnation,
      service: server.service,
      source,
      left_ms: Math.round(leftMs),
    });
  }
}

/** Computes the time of day less the monotonic clock, in milliseconds. */
function computeClockOffset(): number {
  return Date.now() - performance.now();
}

function getColdUntil(state: ColdState): number {
  return Math.max(state.toldUntil, state.noticedUntil, state.expectedUntil);
}
