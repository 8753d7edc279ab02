import {
  Configuration,
  ConfiguredVersion,
  EvidenceBatch,
  EvidenceReceipt,
  VersionRef,
  formatVersionKey,
  isServing,
} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {EvidencePool} from './EvidencePool.js';

const log = createLogger('guard');

const CHECK_INTERVAL_MS = 250;

/** Dependencies of a RolloutGuard. @public */
export interface RolloutGuardDependencies {
  readonly getConfiguration: () => Configuration;
  readonly isLeader: () => boolean;
  /** Commits the quarantine of a version, which then receives no more requests. */
  readonly quarantine: (
    version: VersionRef,
    reason: string,
  ) => Promise<unknown>;
  /** Commits a roll-out's next step unless its step is no longer `fromStep`. */
  readonly advance: (version: VersionRef, fromStep: number) => Promise<unknown>;
  /**
   * Returns whether enough replicas are loaded for a share; if undefined, they are assumed to be.
   */
  readonly isPlacementReady?: (version: VersionRef, share: number) => boolean;
}

interface SeenStep {
  readonly since: number;
  readonly step: number;
  readonly at: number;
}

/**
 * Guards the versions on the leader. It pools the entries' evidence, quarantines a version if one of
 * its tests raises an alarm, and advances a roll-out once its step has enough evidence, soak time
 * and replicas.
 *
 * @public
 */
export class RolloutGuard {
  private pool = new EvidencePool();
  private readonly seenSteps = new Map<string, SeenStep>();
  private readonly pending = new Set<string>();
  private isLeading = false;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: RolloutGuardDependencies) {}

  // Commands.

  /** Starts periodic checks; the first batch of evidence starts them too. */
  start(): void {
    if (this.timer || this.isStopped) return;
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Stops checking. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Adds a batch of evidence and quarantines versions at once if it raises an alarm. */
  accept(batch: EvidenceBatch): EvidenceReceipt {
    this.start();
    const configuration = this.dependencies.getConfiguration();
    const isNew = this.pool.accept(batch, configuration);
    if (isNew) this.quarantineAlarming(configuration);
    return {
      pool: this.pool.id,
      quality: this.pool.listQuality(configuration),
    };
  }

  /** Checks every version once; a follower discards the evidence of its time as leader. */
  check(): void {
    if (!this.dependencies.isLeader()) {
      this.resetEvidence();
      return;
    }
    this.isLeading = true;
    const configuration = this.dependencies.getConfiguration();
    this.quarantineAlarming(configuration);
    for (const version of Object.values(configuration.versions)) {
      if (version.state !== 'rolling_out') continue;
      if (!this.isStepComplete(version, configuration)) continue;
      this.commit(version, 'rollout_advanced', {step: version.step}, () =>
        this.dependencies.advance(pickRef(version), version.step),
      );
    }
  }

  private resetEvidence(): void {
    if (!this.isLeading) return;
    this.isLeading = false;
    this.pool = new EvidencePool();
    this.seenSteps.clear();
  }

  // Queries.

  /** Lists the conditions that prevent a roll-out from leaving its step. */
  explainStep(
    version: ConfiguredVersion,
    configuration: Configuration = this.dependencies.getConfiguration(),
  ): string[] {
    const {rollout, step} = version;
    if (!rollout) return [];
    const declared = rollout.steps[step];
    const evidence = this.pool.get(formatVersionKey(version), configuration);
    const soakedMs = performance.now() - this.recordStep(version).at;
    const nextShare = rollout.steps[step + 1]?.share ?? 1;
    const waits = {
      soak_time: soakedMs < (declared?.soakSeconds ?? 0) * 1_000,
      ratings: (evidence?.countRatings(step) ?? 0) < rollout.guard.minRatings,
      suspicious_evidence: evidence?.isSuspicious() ?? false,
      placement:
        this.dependencies.isPlacementReady?.(pickRef(version), nextShare) ===
        false,
    };
    return Object.entries(waits)
      .filter(([, isWaiting]) => isWaiting)
      .map(([name]) => name);
  }

  private isStepComplete(
    version: ConfiguredVersion,
    configuration: Configuration,
  ): boolean {
    const waits = this.explainStep(version, configuration);
    if (waits.length === 0) return true;
    log('rollout_waits', {
      version: formatVersionKey(version),
      step: version.step,
      for: waits.join(','),
    });
    return false;
  }

  /** Records when this leader first saw a step; a new leader restarts the soak time. */
  private recordStep({model, version, step, since = 0}: ConfiguredVersion) {
    const key = formatVersionKey({model, version});
    const seen = this.seenSteps.get(key);
    if (seen && seen.step === step && seen.since === since) return seen;
    const current = {since, step, at: performance.now()};
    this.seenSteps.set(key, current);
    return current;
  }

  private quarantineAlarming(configuration: Configuration): void {
    for (const version of Object.values(configuration.versions)) {
      if (!isServing(version)) continue;
      const key = formatVersionKey(version);
      const reason = this.pool.get(key, configuration)?.findAlarm();
      if (!reason) continue;
      if (!hasFallback(version, configuration)) {
        log('alarm_without_fallback', {version: key, reason});
        continue;
      }
      this.commit(version, 'version_quarantined', {reason}, () =>
        this.dependencies.quarantine(pickRef(version), reason),
      );
    }
  }

  private commit(
    version: ConfiguredVersion,
    event: string,
    fields: Record<string, string | number>,
    propose: () => Promise<unknown>,
  ): void {
    const key = formatVersionKey(version);
    if (this.pending.has(key)) return;
    this.pending.add(key);
    propose()
      .then(() => log(event, {version: key, ...fields}))
      .catch((error: unknown) =>
        log('guard_commit_failed', {version: key, error: String(error)}),
      )
      .finally(() => this.pending.delete(key));
  }
}

function pickRef({model, version}: ConfiguredVersion): VersionRef {
  return {model, version};
}

/**
 * Returns whether another version of the model is active and can take over the traffic. The last
 * version of a model is never quarantined automatically.
 */
function hasFallback(
  version: ConfiguredVersion,
  configuration: Configuration,
): boolean {
  return Object.values(configuration.versions).some(
    other =>
      other.model === version.model &&
      other.version !== version.version &&
      other.state === 'active',
  );
}
