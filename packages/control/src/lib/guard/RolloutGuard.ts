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

/** What a RolloutGuard works with. @public */
export interface RolloutGuardDependencies {
  readonly getConfiguration: () => Configuration;
  readonly isLeader: () => boolean;
  /** Commits that a version takes no more work. */
  readonly quarantine: (
    version: VersionRef,
    reason: string,
  ) => Promise<unknown>;
  /** Commits a roll-out's next step, unless another one is in force than the one seen. */
  readonly advance: (version: VersionRef, fromStep: number) => Promise<unknown>;
  /** Tells whether enough replicas are loaded for a share; always where absent. */
  readonly isPlacementReady?: (version: VersionRef, share: number) => boolean;
}

interface SeenStep {
  readonly since: number;
  readonly step: number;
  readonly at: number;
}

/**
 * Guards versions on the leader: pools the entries' evidence, quarantines a version whose tests
 * alarm, and advances a roll-out once its step has its evidence, its soak time and its replicas.
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

  constructor(private readonly parts: RolloutGuardDependencies) {}

  // Commands.

  /** Begins to check roll-outs at intervals; the first batch of evidence does so by itself. */
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

  /** Takes a batch of evidence and acts on it at once. */
  accept(batch: EvidenceBatch): EvidenceReceipt {
    this.start();
    const configuration = this.parts.getConfiguration();
    const isNew = this.pool.accept(batch, configuration);
    if (isNew) this.quarantineAlarming(configuration);
    return {
      pool: this.pool.id,
      quality: this.pool.listQuality(configuration),
    };
  }

  /** Looks at every version once; a follower forgets what it pooled while it led. */
  check(): void {
    if (!this.parts.isLeader()) {
      this.drop();
      return;
    }
    this.isLeading = true;
    const configuration = this.parts.getConfiguration();
    this.quarantineAlarming(configuration);
    for (const version of Object.values(configuration.versions)) {
      if (version.state !== 'rolling_out') continue;
      if (!this.isStepComplete(version, configuration)) continue;
      this.commit(version, 'rollout_advanced', {step: version.step}, () =>
        this.parts.advance(pickRef(version), version.step),
      );
    }
  }

  private drop(): void {
    if (!this.isLeading) return;
    this.isLeading = false;
    this.pool = new EvidencePool();
    this.seenSteps.clear();
  }

  // Queries.

  /** Explains what keeps a roll-out at its step; empty where nothing does. */
  explainStep(
    version: ConfiguredVersion,
    configuration: Configuration = this.parts.getConfiguration(),
  ): string[] {
    const {rollout, step} = version;
    if (!rollout) return [];
    const declared = rollout.steps[step];
    const evidence = this.pool.get(formatVersionKey(version), configuration);
    const heldMs = performance.now() - this.noteStep(version).at;
    const nextShare = rollout.steps[step + 1]?.share ?? 1;
    const waits = {
      soak_time: heldMs < (declared?.soakSeconds ?? 0) * 1_000,
      ratings: (evidence?.countRatings(step) ?? 0) < rollout.guard.minRatings,
      suspicious_evidence: evidence?.isSuspicious() ?? false,
      placement:
        this.parts.isPlacementReady?.(pickRef(version), nextShare) === false,
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

  /** Notes when a step was first seen here; a new leader counts its soak time anew. */
  private noteStep({model, version, step, since = 0}: ConfiguredVersion) {
    const key = formatVersionKey({model, version});
    const seen = this.seenSteps.get(key);
    if (seen && seen.step === step && seen.since === since) return seen;
    const now = {since, step, at: performance.now()};
    this.seenSteps.set(key, now);
    return now;
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
        this.parts.quarantine(pickRef(version), reason),
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
        log('guard_not_committed', {version: key, error: String(error)}),
      )
      .finally(() => this.pending.delete(key));
  }
}

function pickRef({model, version}: ConfiguredVersion): VersionRef {
  return {model, version};
}

/** Traffic needs somewhere to go: the last version of a model is never quarantined by itself. */
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
