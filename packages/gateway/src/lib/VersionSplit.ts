import {
  NO_TIMES,
  RolloutEvidence,
  ServiceRollout,
  VersionCounts,
  countTimeRatio,
  evictOldest,
} from '@sycamorehead/schema';
import {hashToShare} from '@sycamorehead/routing';
import {writeDecision} from '@sycamorehead/telemetry';
import {buildSessionKey} from './buildSessionKey.js';
import type {KnownServer} from './KnownServer.js';

/** Maximum number of sessions that are tracked; the least recently used one is evicted. */
const MAX_SESSIONS = 20_000;
/** Maximum duration of a request that a session's pin outlives, in ms. */
const LONGEST_REQUEST_MS = 20_000;
/** Time after its last report for which a session of another entry keeps its version, in ms. */
const KEPT_EXPIRY_MS = 1_500;
/** Maximum number of kept sessions in one report. */
const MAX_KEPT = 1_000;
/**
 * Time after a counted loss within which further losses on the same server count as the same event,
 * in ms.
 */
const LOSS_WINDOW_MS = 2_000;
/** Multiple of the expected time after which an answer that is still awaited counts as slow. */
const OVERDUE_RATIO = 4;
/** Maximum number of kinds of answers that are counted for one roll-out. */
const MAX_COUNTS = 1_000;

/**
 * The version of a service in a roll-out to which a request is sent.
 *
 * @public
 */
export type VersionVariant = 'old' | 'new';

interface SessionPin {
  variant: VersionVariant;
  /** The share of a roll-out from which on the session belongs to the new version. */
  readonly draw: number;
  usedAt: number;
}

/** The result of a send, as evidence on a version. @public */
export type AnswerResult = 'answered' | 'failed' | 'lost';

/** A send whose answer has not begun. @public */
export interface AwaitedSend {
  readonly server: KnownServer;
  readonly route: string;
  readonly sentAt: number;
  /** Undefined if no similar answer is known. */
  readonly expectedMs: number | undefined;
}

interface Counts {
  answers: number;
  failures: number;
  losses: number;
  readonly times: number[];
}

/**
 * Splits the requests of services between the versions of a roll-out, pins sessions to their
 * version, and collects evidence.
 *
 * @public
 */
export class VersionSplit {
  private readonly rollouts = new Map<string, ServiceRollout>();
  private readonly evidence = new Map<string, Map<string, Counts>>();
  private readonly awaited = new Set<AwaitedSend>();
  private readonly lossTimes = new WeakMap<KnownServer, number>();
  private readonly sessions = new Map<string, SessionPin>();
  /**
   * Sessions on the old version that a roll-out would send to the new one, with the time of their
   * last request here. Any entry may receive their next request, so all entries are told.
   */
  private readonly kept = new Map<string, number>();
  /** Kept sessions of other entries, with the time at which they were last reported. */
  private readonly othersKept = new Map<string, number>();

  /** Time after the start of its last request for which a session stays pinned, in milliseconds. */
  private readonly pinMs: number;

  /** Expects the time after the end of its last request for which a session goes on, in ms. */
  constructor(sessionMs: number) {
    this.pinMs = sessionMs + LONGEST_REQUEST_MS;
  }

  // Commands.

  /** Applies roll-outs from a control instance; an older state of a roll-out is ignored. */
  update(rollouts: readonly ServiceRollout[]): void {
    for (const rollout of rollouts) {
      const known = this.rollouts.get(rollout.service);
      if (known && !isNewer(rollout, known)) continue;
      this.rollouts.set(rollout.service, rollout);
      if (known?.number !== rollout.number) {
        this.evidence.set(rollout.service, new Map());
        this.resetPins(rollout.service);
      }
      if (known?.share !== rollout.share) this.keepSessions(rollout);
      if (known?.share === rollout.share && known.phase === rollout.phase) {
        continue;
      }
      writeDecision('rollout_seen', {
        service: rollout.service,
        target: rollout.target,
        phase: rollout.phase,
        share: rollout.share,
      });
    }
  }

  /** Chooses the variant for a request and pins its session to it. */
  assignVariant(
    service: string,
    session: string | undefined,
    requestId: string,
  ): VersionVariant {
    const rollout = this.rollouts.get(service);
    const variant = this.findVariant(service, session, requestId);
    if (session === undefined) return variant;
    const key = buildSessionKey(service, session);
    const pin = {
      variant,
      draw: hashToShare(session),
      usedAt: performance.now(),
    };
    this.pinSession(key, pin);
    if (rollout && isKept(rollout, pin)) this.keep(key);
    return variant;
  }

  /** Records the sessions that other entries keep on the old version. */
  addKept(keys: readonly string[]): void {
    const now = performance.now();
    for (const key of keys) this.othersKept.set(key, now);
    for (const [key, reportedAt] of this.othersKept) {
      if (now - reportedAt > KEPT_EXPIRY_MS) this.othersKept.delete(key);
    }
  }

  /** Records that an answer is awaited; one that is long overdue is evidence before it has come. */
  recordSend(send: AwaitedSend): void {
    this.awaited.add(send);
  }

  /** Records that the answer to a send is no longer awaited; it counts if it was long overdue. */
  recordSendEnd(send: AwaitedSend): void {
    if (!this.awaited.delete(send)) return;
    const timeRatio = computeOverdueRatio(send);
    if (timeRatio === undefined) return;
    this.recordAnswer(send.server, send.route, 'answered', timeRatio);
  }

  /** Records that the result of a send is known and is counted by itself. */
  recordSendResult(send: AwaitedSend): void {
    this.awaited.delete(send);
  }

  /**
   * Counts the result of a send towards the evidence on the version of its server. `timeRatio` is the
   * time of an answer relative to the expected one.
   */
  recordAnswer(
    server: KnownServer,
    route: string,
    result: AnswerResult,
    timeRatio: number | undefined,
  ): void {
    const {service} = server.listing.registration;
    const rollout = this.rollouts.get(service);
    if (rollout?.phase !== 'in_progress' || this.isRejected(server)) return;
    if (result === 'lost' && !this.isFirstLoss(server)) return;
    const table = this.evidence.get(service) ?? new Map<string, Counts>();
    this.evidence.set(service, table);
    countAnswer(table, buildKey(rollout, server, route), result, timeRatio);
  }

  // Queries.

  /** Finds the variant for a request, without pinning its session. */
  findVariant(
    service: string,
    session: string | undefined,
    requestId: string,
  ): VersionVariant {
    const rollout = this.rollouts.get(service);
    if (!rollout) return 'old';
    return this.chooseVariant(rollout, session, requestId);
  }

  /** Returns the servers that a variant may use, or those of the other variant if it has none. */
  filterServers(
    service: string,
    variant: VersionVariant,
    servers: readonly KnownServer[],
  ): readonly KnownServer[] {
    const rollout = this.rollouts.get(service);
    if (!rollout) return servers;
    const isNew = ({listing}: KnownServer) =>
      listing.registration.version === rollout.target;
    const matching = servers.filter(
      server => isNew(server) === (variant === 'new'),
    );
    if (matching.length > 0) return matching;
    // While a roll-out is in progress, the old variant must not fall back to the new version.
    return rollout.phase === 'in_progress' && variant === 'old'
      ? matching
      : servers;
  }

  /**
   * Returns whether a server gets no new work, because this roll-out or an earlier one of its version
   * was not completed.
   */
  isRejected({listing}: KnownServer): boolean {
    const {service, version} = listing.registration;
    const rollout = this.rollouts.get(service);
    if (!rollout) return false;
    const {target, phase, rejected = []} = rollout;
    return target === version
      ? phase === 'rolled_back'
      : rejected.includes(version);
  }

  /** Lists the sessions that this entry keeps on the old version. */
  listKept(): string[] {
    const oldest = performance.now() - this.pinMs;
    for (const [key, usedAt] of this.kept) {
      if (usedAt < oldest) this.kept.delete(key);
    }
    return [...this.kept.keys()].slice(0, MAX_KEPT);
  }

  /** Returns whether a server runs a version whose roll-out is in progress. */
  isOnTrial({listing}: KnownServer): boolean {
    const {service, version} = listing.registration;
    const rollout = this.rollouts.get(service);
    return rollout?.phase === 'in_progress' && rollout.target === version;
  }

  /** Lists the evidence on each roll-out that is in progress. */
  listEvidence(): RolloutEvidence[] {
    const listed: RolloutEvidence[] = [];
    for (const rollout of this.rollouts.values()) {
      const {service, number, phase} = rollout;
      if (phase !== 'in_progress') continue;
      const table = this.addOverdue(rollout);
      const counts: Record<string, VersionCounts> = {};
      for (const [key, value] of table) counts[key] = value;
      listed.push({service, number, counts});
    }
    return listed;
  }

  /** Returns the evidence on a roll-out together with the answers that are long overdue. */
  private addOverdue(rollout: ServiceRollout): Map<string, Counts> {
    const table = new Map(
      [...(this.evidence.get(rollout.service) ?? [])].map(([key, counts]) => [
        key,
        {...counts, times: [...counts.times]},
      ]),
    );
    for (const send of this.awaited) {
      const {server, route} = send;
      if (server.listing.registration.service !== rollout.service) continue;
      const timeRatio = computeOverdueRatio(send);
      if (timeRatio === undefined) continue;
      const key = buildKey(rollout, server, route);
      countAnswer(table, key, 'answered', timeRatio);
    }
    return table;
  }

  /**
   * Returns whether a loss counts; a server that crashes loses all its answers at once, which
   * counts as one loss.
   */
  private isFirstLoss(server: KnownServer): boolean {
    const now = performance.now();
    const lastAt = this.lossTimes.get(server) ?? -Infinity;
    if (now - lastAt < LOSS_WINDOW_MS) return false;
    this.lossTimes.set(server, now);
    return true;
  }

  private chooseVariant(
    rollout: ServiceRollout,
    session: string | undefined,
    requestId: string,
  ): VersionVariant {
    if (rollout.phase === 'completed') return 'new';
    if (rollout.phase === 'rolled_back') return 'old';
    const pin = this.findPin(rollout.service, session);
    if (pin === 'new') return 'new';
    if (pin === 'old' && rollout.isEarly) return 'old';
    return hashToShare(session ?? requestId) < rollout.share ? 'new' : 'old';
  }

  private findPin(
    service: string,
    session: string | undefined,
  ): VersionVariant | undefined {
    if (session === undefined) return undefined;
    const key = buildSessionKey(service, session);
    const now = performance.now();
    const pin = this.sessions.get(key);
    if (pin && now - pin.usedAt <= this.pinMs) return pin.variant;
    const reportedAt = this.othersKept.get(key) ?? -Infinity;
    return now - reportedAt <= KEPT_EXPIRY_MS ? 'old' : undefined;
  }

  /** Makes the version of all pinned sessions the old one, since a new roll-out has begun. */
  private resetPins(service: string): void {
    for (const [key, pin] of this.sessions) {
      if (key.startsWith(`${service} `)) pin.variant = 'old';
    }
  }

  /** Keeps the running sessions on the old version that a new share would move. */
  private keepSessions(rollout: ServiceRollout): void {
    const prefix = `${rollout.service} `;
    for (const [key, pin] of this.sessions) {
      if (!key.startsWith(prefix)) continue;
      if (performance.now() - pin.usedAt > this.pinMs) continue;
      if (isKept(rollout, pin)) this.kept.set(key, pin.usedAt);
    }
  }

  private keep(key: string): void {
    this.kept.delete(key);
    this.kept.set(key, performance.now());
  }

  private pinSession(key: string, pin: SessionPin): void {
    this.sessions.delete(key);
    this.sessions.set(key, pin);
    evictOldest(this.sessions, MAX_SESSIONS);
  }
}

/** Returns how many times the expected time an answer is awaited if it is long overdue. */
function computeOverdueRatio({
  sentAt,
  expectedMs,
}: AwaitedSend): number | undefined {
  if (expectedMs === undefined) return undefined;
  const timeRatio = (performance.now() - sentAt) / Math.max(1, expectedMs);
  return timeRatio >= OVERDUE_RATIO ? timeRatio : undefined;
}

/** Builds the key of the counts to which an answer belongs, as in `RolloutEvidence`. */
function buildKey(
  {target}: ServiceRollout,
  {listing}: KnownServer,
  route: string,
): string {
  const {version, id} = listing.registration;
  return version === target ? `${route} ${id}|new` : `${route}|old`;
}

function countAnswer(
  table: Map<string, Counts>,
  key: string,
  result: AnswerResult,
  timeRatio: number | undefined,
): void {
  const counts = table.get(key) ?? {
    answers: 0,
    failures: 0,
    losses: 0,
    times: [...NO_TIMES],
  };
  if (!table.has(key) && table.size >= MAX_COUNTS) return;
  counts.answers += 1;
  if (result === 'failed') counts.failures += 1;
  if (result === 'lost') counts.losses += 1;
  if (timeRatio !== undefined) countTimeRatio(counts.times, timeRatio);
  table.set(key, counts);
}

/** Returns whether a session stays on the old version that others of its share leave. */
function isKept(
  {phase, isEarly, share}: ServiceRollout,
  {variant, draw}: SessionPin,
): boolean {
  return (
    phase === 'in_progress' && isEarly && variant === 'old' && draw < share
  );
}

/** Returns whether a received state of a roll-out is newer: by its number, then by its progress. */
function isNewer(received: ServiceRollout, known: ServiceRollout): boolean {
  if (received.number !== known.number) return received.number > known.number;
  if (known.phase !== 'in_progress') return false;
  if (received.phase !== 'in_progress') return true;
  return received.share >= known.share;
}
