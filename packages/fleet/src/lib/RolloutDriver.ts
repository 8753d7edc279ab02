import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {RolloutRecord} from './FleetState.js';
import type {VersionAssessment} from './evaluateRollout.js';
import type {LogMember} from './LogMember.js';
import {RolloutView, planRollout} from './planRollout.js';
import type {ServerRegistry} from './ServerRegistry.js';
import type {LoadExchange} from './LoadExchange.js';
import {RouteEvidence, sumCounts} from './rolloutEvidence.js';
import {RolloutJudge} from './RolloutJudge.js';

const log = createLogger('fleet');

/** Interval between two checks of the roll-outs, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Interval at which the elapsed time is committed if nothing else changes, in milliseconds. */
const COMMIT_INTERVAL_MS = 1_000;

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
  readonly judge: RolloutJudge;
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
    const {registry, loadExchange, maxCanaryShare, logMember} = this.options;
    const {service, number, target} = rollout;
    const {elapsedMs, judge} = this.measureProgress(rollout);
    const servers = registry
      .list()
      .map(({registration}) => registration)
      .filter(registration => registration.service === service);
    const freshServers = servers.filter(
      ({version, state, dataCentre}) =>
        version === target &&
        state === 'ready' &&
        !logMember.state.isEvacuated(dataCentre),
    ).length;
    const old = servers.filter(({version}) => version !== target);
    const evidence = loadExchange.listEvidence(service, number);
    const view: RolloutView = {
      rollout,
      elapsedMs,
      ...judge.evaluate(evidence, rollout.share, freshServers),
      freshServers,
      runningOnOld: loadExchange.countInFlight(new Set(old.map(({id}) => id))),
      maxCanaryShare,
    };
    const step = planRollout(view);
    const isSame =
      step.phase === rollout.phase &&
      step.share === rollout.share &&
      step.isEarly === rollout.isEarly;
    const isDue = step.elapsedMs - rollout.elapsedMs > COMMIT_INTERVAL_MS;
    if (isSame && !isDue) return;
    await logMember.propose({type: 'step_rollout', service, number, step});
    writeDecision(isSame ? 'rollout_waits' : 'rollout_step', {
      service,
      target,
      phase: step.phase,
      share: step.share,
      verdict: describeAssessment(view.assessment),
      recent: describeAssessment(view.recent),
      since_step: view.answersSinceStep,
      evidence: describeEvidence(evidence),
      entries: loadExchange.countEntries(),
      fresh_servers: freshServers,
      running_on_old: view.runningOnOld,
      elapsed_ms: Math.round(step.elapsedMs),
    });
  }

  /** Measures the time since the order; a new leader continues from the last committed time. */
  private measureProgress({
    service,
    number,
    elapsedMs,
  }: RolloutRecord): Progress {
    const now = performance.now();
    const term = this.options.logMember.raftNode?.getStatus().term ?? 0;
    const known = this.progress.get(service);
    if (known?.number !== number || known.term !== term) {
      const judge = new RolloutJudge();
      const begun = {number, term, elapsedMs, checkedAt: now, judge};
      this.progress.set(service, begun);
      return begun;
    }
    known.elapsedMs += now - known.checkedAt;
    known.checkedAt = now;
    return known;
  }
}

/** Formats `VERDICT:failures,slow/answers`, with the log likelihood ratios of the regressions. */
function describeAssessment({
  verdict,
  reason,
  scores,
  answers,
}: VersionAssessment): string {
  const {failures, slow} = scores;
  return `${reason ?? verdict}:${failures.toFixed(1)},${slow.toFixed(1)}/${answers}`;
}

/**
 * Formats `failures+losses/answers:times` of the old and the new version for each route; times is the
 * histogram of the answer times relative to the expected ones.
 */
function describeEvidence(routes: readonly RouteEvidence[]): string {
  return routes
    .flatMap(({old, servers}) => [old, sumCounts(servers.values())])
    .map(
      ({answers, failures, losses, times}) =>
        `${failures}+${losses}/${answers}:${times.join('-')}`,
    )
    .join(' ');
}
