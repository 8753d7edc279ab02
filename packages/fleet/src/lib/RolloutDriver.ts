import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {RolloutRecord} from './FleetState.js';
import {VersionPair, evaluateRollout} from './evaluateRollout.js';
import type {LogMember} from './LogMember.js';
import {RolloutView, planRollout} from './planRollout.js';
import type {ServerRegistry} from './ServerRegistry.js';
import type {LoadExchange} from './LoadExchange.js';

const log = createLogger('fleet');

/** Interval between two checks of the roll-outs, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Interval at which the elapsed time is committed if nothing else changes, in milliseconds. */
const COMMIT_INTERVAL_MS = 1_000;

/**
 * Share above which a roll-out is past its canary and the new version counts as serving most
 * requests.
 */
const CANARY_SHARE_LIMIT = 0.3;

/** Dependencies and settings of a RolloutDriver. @public */
export interface RolloutDriverOptions {
  readonly logMember: LogMember;
  readonly registry: ServerRegistry;
  readonly loadExchange: LoadExchange;
  /** Largest share of a service's requests that a faulty version may receive. */
  readonly maxCanaryShare: number;
}

interface Progress {
  readonly number: number;
  readonly term: number;
  elapsedMs: number;
  checkedAt: number;
}

/**
 * Advances roll-outs from the canary to all requests, or rolls them back, while this instance leads.
 *
 * @public
 */
export class RolloutDriver {
  private readonly progress = new Map<string, Progress>();
  private isStopped = false;

  constructor(private readonly options: RolloutDriverOptions) {}

  /** Checks the roll-outs at intervals until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
      if (!this.options.logMember.isLeader) {
        this.progress.clear();
        continue;
      }
      for (const rollout of this.options.logMember.state.listRollouts()) {
        if (rollout.phase !== 'in_progress') continue;
        try {
          await this.advanceRollout(rollout);
        } catch (error) {
          log('rollout_step_failed', {error: String(error)});
        }
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async advanceRollout(rollout: RolloutRecord): Promise<void> {
    const view = this.describeView(rollout);
    const step = planRollout(view);
    const isSame =
      step.phase === rollout.phase &&
      step.share === rollout.share &&
      step.isEarly === rollout.isEarly;
    const isDue = step.elapsedMs - rollout.elapsedMs > COMMIT_INTERVAL_MS;
    if (isSame && !isDue) return;
    const {service, number} = rollout;
    await this.options.logMember.propose({
      type: 'step_rollout',
      service,
      number,
      step,
    });
    if (isSame) return;
    writeDecision('rollout_step', {
      service,
      target: rollout.target,
      phase: step.phase,
      share: step.share,
      verdict: view.verdict,
      evidence: describeEvidence(view.evidence),
      fresh_servers: view.freshServers,
      running_on_old: view.runningOnOld,
      elapsed_ms: Math.round(step.elapsedMs),
    });
  }

  private describeView(rollout: RolloutRecord): RolloutView {
    const {registry, loadExchange, maxCanaryShare} = this.options;
    const servers = registry
      .list()
      .map(({registration}) => registration)
      .filter(({service}) => service === rollout.service);
    const fresh = servers.filter(
      ({version, state}) => version === rollout.target && state === 'ready',
    );
    const old = servers.filter(({version}) => version !== rollout.target);
    const evidence = loadExchange.listEvidence(rollout.service, rollout.number);
    return {
      rollout,
      elapsedMs: this.measureElapsed(rollout),
      verdict: evaluateRollout(evidence, rollout.share > CANARY_SHARE_LIMIT),
      evidence,
      freshServers: fresh.length,
      runningOnOld: loadExchange.countInFlight(new Set(old.map(({id}) => id))),
      maxCanaryShare,
    };
  }

  /** Returns the time since the order; a new leader continues from the last committed time. */
  private measureElapsed({service, number, elapsedMs}: RolloutRecord): number {
    const now = performance.now();
    const term = this.options.logMember.raftNode?.getStatus().term ?? 0;
    const known = this.progress.get(service);
    if (known?.number !== number || known.term !== term) {
      this.progress.set(service, {number, term, elapsedMs, checkedAt: now});
      return elapsedMs;
    }
    known.elapsedMs += now - known.checkedAt;
    known.checkedAt = now;
    return known.elapsedMs;
  }
}

/** Formats `failures/answers@meanMs` of the old and the new version for each route. */
function describeEvidence(pairs: readonly VersionPair[]): string {
  return pairs
    .flatMap(pair => [pair.old, pair.new])
    .map(({answers, failures, logTimeSum, timed}) => {
      const meanMs = timed > 0 ? Math.round(Math.exp(logTimeSum / timed)) : 0;
      return `${failures}/${answers}@${meanMs}`;
    })
    .join(' ');
}
