import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {RolloutRecord} from './FleetState.js';
import {VersionPair, evaluateRollout} from './evaluateRollout.js';
import type {LogMember} from './LogMember.js';
import {RolloutView, planRollout} from './planRollout.js';
import type {ServerRegistry} from './ServerRegistry.js';
import type {LoadExchange} from './LoadExchange.js';

const log = createLogger('fleet');

/** Time between two looks at the roll-outs, in milliseconds. */
const LOOK_INTERVAL_MS = 200;
/** Time after which the elapsed time is committed although nothing else has changed. */
const COMMIT_INTERVAL_MS = 1_000;

/** Share above which the new version carries the load. */
const CANARY_LIMIT = 0.3;

/** What the driver of roll-outs needs. @public */
export interface RolloutDriverOptions {
  readonly host: LogMember;
  readonly registry: ServerRegistry;
  readonly loadExchange: LoadExchange;
  /** Largest share of a service's requests that a bad version may get. */
  readonly maxCanaryShare: number;
}

interface Progress {
  readonly number: number;
  readonly term: number;
  elapsedMs: number;
  lookedAt: number;
}

/**
 * The leader's task that moves roll-outs on, from the canary to all requests or back.
 *
 * @public
 */
export class RolloutDriver {
  private readonly progress = new Map<string, Progress>();
  private isStopped = false;

  constructor(private readonly options: RolloutDriverOptions) {}

  /** Looks at the roll-outs until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await new Promise(resolve => setTimeout(resolve, LOOK_INTERVAL_MS));
      if (!this.options.host.isLeader) {
        this.progress.clear();
        continue;
      }
      for (const rollout of this.options.host.state.listRollouts()) {
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
    await this.options.host.propose({
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
    const {registry, loadExchange: hub, maxCanaryShare} = this.options;
    const servers = registry
      .list()
      .map(({registration}) => registration)
      .filter(({service}) => service === rollout.service);
    const fresh = servers.filter(
      ({version, state}) => version === rollout.target && state === 'ready',
    );
    const old = servers.filter(({version}) => version !== rollout.target);
    const evidence = hub.listEvidence(rollout.service, rollout.number);
    return {
      rollout,
      elapsedMs: this.measureElapsed(rollout),
      verdict: evaluateRollout(evidence, rollout.share > CANARY_LIMIT),
      evidence,
      freshServers: fresh.length,
      runningOnOld: hub.countInFlight(new Set(old.map(({id}) => id))),
      maxCanaryShare,
    };
  }

  /** Time since the order; a new leader goes on from what the last one committed. */
  private measureElapsed({service, number, elapsedMs}: RolloutRecord): number {
    const now = performance.now();
    const term = this.options.host.member?.getStatus().term ?? 0;
    const known = this.progress.get(service);
    if (known?.number !== number || known.term !== term) {
      this.progress.set(service, {number, term, elapsedMs, lookedAt: now});
      return elapsedMs;
    }
    known.elapsedMs += now - known.lookedAt;
    known.lookedAt = now;
    return known.elapsedMs;
  }
}

/** Failures of answers and mean time by kind of work, old then new. */
function describeEvidence(pairs: readonly VersionPair[]): string {
  return pairs
    .flatMap(pair => [pair.old, pair.new])
    .map(({answers, failures, logTimeSum, timed}) => {
      const meanMs = timed > 0 ? Math.round(Math.exp(logTimeSum / timed)) : 0;
      return `${failures}/${answers}@${meanMs}`;
    })
    .join(' ');
}
