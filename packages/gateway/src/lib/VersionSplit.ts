import type {
  RolloutEvidence,
  ServiceRollout,
  VersionCounts,
} from '@sycamorehead/schema';
import {hashToShare} from '@sycamorehead/routing';
import {writeDecision} from '@sycamorehead/telemetry';
import type {KnownServer} from './ServerTable.js';

/** Sessions remembered; the ones unused longest yield. */
const MAX_SESSIONS = 20_000;
/** Time within which further losses of a server's answers are taken for the same event, in ms. */
const LOSS_PAUSE_MS = 2_000;

/** Which version of a service a request goes to, as far as a roll-out says. @public */
export type VersionVariant = 'old' | 'new';

interface SessionPin {
  side: VersionVariant;
  usedAt: number;
}

/** How a send ended, as evidence on a version. @public */
export type AnswerResult = 'answered' | 'failed' | 'lost';

interface Counts {
  answers: number;
  failures: number;
  logTimeSum: number;
  timed: number;
}

/**
 * Splits the requests of services between the versions of a roll-out, keeps sessions on their
 * version, and gathers evidence.
 *
 * @public
 */
export class VersionSplit {
  private readonly rollouts = new Map<string, ServiceRollout>();
  private readonly evidence = new Map<string, Map<string, Counts>>();
  private readonly lossTimes = new WeakMap<KnownServer, number>();
  private readonly sessions = new Map<string, SessionPin>();

  constructor(
    /** Time after its last request for which a session stays together, in milliseconds. */
    private readonly sessionMs: number,
  ) {}

  // Commands.

  /** Takes what a control instance tells; an older state of a roll-out changes nothing. */
  update(rollouts: readonly ServiceRollout[]): void {
    for (const rollout of rollouts) {
      const known = this.rollouts.get(rollout.service);
      if (known && !isNewer(rollout, known)) continue;
      this.rollouts.set(rollout.service, rollout);
      if (known?.number !== rollout.number) {
        this.evidence.set(rollout.service, new Map());
      }
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

  /** Chooses the side for a request and remembers it for its session. */
  assignVariant(
    service: string,
    session: string | undefined,
    requestId: string,
  ): VersionVariant {
    const rollout = this.rollouts.get(service);
    if (!rollout) return 'old';
    const side = this.chooseSide(rollout, session, requestId);
    if (session !== undefined) this.pinSession(`${service} ${session}`, side);
    return side;
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
    const side = version === rollout.target ? 'new' : 'old';
    const table = this.evidence.get(service) ?? new Map<string, Counts>();
    this.evidence.set(service, table);
    if (result === 'lost' && !this.isFirstLoss(server)) return;
    const key = `${kind}|${side}`;
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

  /** Keeps the servers that a side may use; where the side has none, those of the other. */
  filterServers(
    service: string,
    side: VersionVariant,
    servers: readonly KnownServer[],
  ): readonly KnownServer[] {
    const rollout = this.rollouts.get(service);
    if (!rollout) return servers;
    const isNew = ({listing}: KnownServer) =>
      listing.registration.version === rollout.target;
    const wanted = servers.filter(server => isNew(server) === (side === 'new'));
    if (wanted.length > 0) return wanted;
    // Only what is completed or rolled back may fall back on the version that is left.
    return rollout.phase === 'in_progress' && side === 'old' ? wanted : servers;
  }

  /** Whether a server runs a version that new work may no longer reach. */
  isRolledBack(server: KnownServer): boolean {
    const {service, version} = server.listing.registration;
    const rollout = this.rollouts.get(service);
    return rollout?.phase === 'rolled_back' && rollout.target === version;
  }

  /** Lists what was seen of each roll-out that is under way. */
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

  /** A server that crashes loses all its answers at once; that counts as one. */
  private isFirstLoss(server: KnownServer): boolean {
    const now = performance.now();
    const lastAt = this.lossTimes.get(server) ?? -Infinity;
    if (now - lastAt < LOSS_PAUSE_MS) return false;
    this.lossTimes.set(server, now);
    return true;
  }

  private chooseSide(
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
    const pin = this.sessions.get(`${service} ${session}`);
    if (!pin || performance.now() - pin.usedAt > this.sessionMs) {
      return undefined;
    }
    return pin.side;
  }

  private pinSession(key: string, side: VersionVariant): void {
    this.sessions.delete(key);
    this.sessions.set(key, {side, usedAt: performance.now()});
    if (this.sessions.size <= MAX_SESSIONS) return;
    const [oldest] = this.sessions.keys();
    if (oldest !== undefined) this.sessions.delete(oldest);
  }
}

/** By order, then by how far it has come. */
function isNewer(heard: ServiceRollout, known: ServiceRollout): boolean {
  if (heard.number !== known.number) return heard.number > known.number;
  if (known.phase !== 'in_progress') return false;
  if (heard.phase !== 'in_progress') return true;
  return heard.share >= known.share;
}
