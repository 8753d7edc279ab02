import type {
  RolloutEvidence,
  ServiceRollout,
  VersionCounts,
} from '@sycamorehead/schema';
import {hashToShare} from '@sycamorehead/routing';
import {writeDecision} from '@sycamorehead/telemetry';
import type {KnownServer} from './ServerTable.js';

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

/**
 * The version of a service in a roll-out to which a request is sent.
 *
 * @public
 */
export type VersionVariant = 'old' | 'new';

interface SessionPin {
  variant: VersionVariant;
  usedAt: number;
}

/** The result of a send, as evidence on a version. @public */
export type AnswerResult = 'answered' | 'failed' | 'lost';

interface Counts {
  answers: number;
  failures: number;
  logTimeSum: number;
  timed: number;
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
    const variant = rollout
      ? this.chooseVariant(rollout, session, requestId)
      : 'old';
    if (session === undefined) return variant;
    const key = `${service} ${session}`;
    this.pinSession(key, variant);
    if (rollout && isKept(rollout, session, variant)) this.keep(key);
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

  /** Counts an answer of a server towards the evidence on its version. */
  recordAnswer(
    server: KnownServer,
    kind: string,
    result: AnswerResult,
    timeMs: number | undefined,
  ): void {
    const {service, version} = server.listing.registration;
    const rollout = this.rollouts.get(service);
    if (rollout?.phase !== 'in_progress') return;
    const variant = version === rollout.target ? 'new' : 'old';
    const table = this.evidence.get(service) ?? new Map<string, Counts>();
    this.evidence.set(service, table);
    if (result === 'lost' && !this.isFirstLoss(server)) return;
    const key = `${kind}|${variant}`;
    const counts = table.get(key) ?? {
      answers: 0,
      failures: 0,
      logTimeSum: 0,
      timed: 0,
    };
    counts.answers += 1;
    if (result !== 'answered') counts.failures += 1;
    if (timeMs !== undefined) {
      counts.logTimeSum += Math.log(Math.max(1, timeMs));
      counts.timed += 1;
    }
    table.set(key, counts);
  }

  // Queries.

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

  /** Returns whether a server runs a version that was rolled back and gets no new work. */
  isRolledBack(server: KnownServer): boolean {
    const {service, version} = server.listing.registration;
    const rollout = this.rollouts.get(service);
    return rollout?.phase === 'rolled_back' && rollout.target === version;
  }

  /** Lists the sessions that this entry keeps on the old version. */
  listKept(): string[] {
    const oldest = performance.now() - this.pinMs;
    for (const [key, usedAt] of this.kept) {
      if (usedAt < oldest) this.kept.delete(key);
    }
    return [...this.kept.keys()].slice(0, MAX_KEPT);
  }

  /** Lists the evidence on each roll-out that is in progress. */
  listEvidence(): RolloutEvidence[] {
    const listed: RolloutEvidence[] = [];
    for (const [service, table] of this.evidence) {
      const rollout = this.rollouts.get(service);
      if (rollout?.phase !== 'in_progress') continue;
      const counts: Record<string, VersionCounts> = {};
      for (const [key, value] of table) counts[key] = {...value};
      listed.push({service, number: rollout.number, counts});
    }
    return listed;
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
    const key = `${service} ${session}`;
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
    for (const [key, {variant, usedAt}] of this.sessions) {
      if (!key.startsWith(prefix)) continue;
      if (performance.now() - usedAt > this.pinMs) continue;
      const session = key.slice(prefix.length);
      if (isKept(rollout, session, variant)) this.kept.set(key, usedAt);
    }
  }

  private keep(key: string): void {
    this.kept.delete(key);
    this.kept.set(key, performance.now());
  }

  private pinSession(key: string, variant: VersionVariant): void {
    this.sessions.delete(key);
    this.sessions.set(key, {variant, usedAt: performance.now()});
    if (this.sessions.size <= MAX_SESSIONS) return;
    const [oldest] = this.sessions.keys();
    if (oldest !== undefined) this.sessions.delete(oldest);
  }
}

/** Returns whether a session stays on the old version that others of its share leave. */
function isKept(
  {phase, isEarly, share}: ServiceRollout,
  session: string,
  variant: VersionVariant,
): boolean {
  return (
    phase === 'in_progress' &&
    isEarly &&
    variant === 'old' &&
    hashToShare(session) < share
  );
}

/** Returns whether a received state of a roll-out is newer: by its number, then by its progress. */
function isNewer(received: ServiceRollout, known: ServiceRollout): boolean {
  if (received.number !== known.number) return received.number > known.number;
  if (known.phase !== 'in_progress') return false;
  if (received.phase !== 'in_progress') return true;
  return received.share >= known.share;
}
