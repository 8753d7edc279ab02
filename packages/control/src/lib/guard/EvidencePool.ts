import {randomUUID} from 'node:crypto';
import {
  Configuration,
  EvidenceBatch,
  EvidenceItem,
  QualitySummary,
  evictOldest,
  formatVersionKey,
  isPermitted,
  isServing,
} from '@sycamorehead/schema';
import {DecayingStatistics} from './DecayingStatistics.js';
import {VersionEvidence} from './VersionEvidence.js';

const MAX_RUNS = 4_096;

/**
 * The evidence of all entries, pooled by version. The pool exists on the leader only. A new leader
 * starts with an empty pool, to which the entries resend the batches that they still buffer. A
 * batch is identified by its entry, epoch and sequence number, so that none counts twice.
 *
 * @public
 */
export class EvidencePool {
  readonly id = randomUUID();
  private readonly versions = new Map<string, VersionEvidence>();
  /** Highest accepted sequence number of each run of an entry. */
  private readonly sequences = new Map<string, number>();

  // Commands.

  /** Adds a batch; returns whether it was new. */
  accept(batch: EvidenceBatch, configuration: Configuration): boolean {
    if (batch.pool !== undefined && batch.pool !== this.id) return false;
    const run = `${batch.entry}\n${batch.epoch}`;
    const highest = this.sequences.get(run) ?? 0;
    if (batch.sequence <= highest) return false;
    this.sequences.delete(run);
    this.sequences.set(run, batch.sequence);
    evictOldest(this.sequences, MAX_RUNS);
    for (const item of batch.items) this.observe(item, configuration);
    return true;
  }

  // Queries.

  /** Returns the evidence on a version since its current roll-out began. */
  get(key: string, configuration: Configuration): VersionEvidence | undefined {
    const evidence = this.versions.get(key);
    const since = configuration.versions[key]?.since ?? 0;
    return evidence?.since === since ? evidence : undefined;
  }

  /** Lists the estimated quality of all versions in service. */
  listQuality(configuration: Configuration): QualitySummary[] {
    return Object.values(configuration.versions)
      .filter(isServing)
      .map(formatVersionKey)
      .flatMap(key => this.get(key, configuration)?.listQuality(key) ?? []);
  }

  private observe(item: EvidenceItem, configuration: Configuration): void {
    const version = configuration.versions[item.version];
    if (!version || !isServing(version)) return;
    if (item.revision < (version.since ?? 0)) return;
    const replaced =
      version.rollout &&
      formatVersionKey({
        model: version.model,
        version: version.rollout.replaces,
      });
    this.ensure(item.version, configuration).observe(item, {
      version,
      replaced: replaced ? this.get(replaced, configuration) : undefined,
      otherAttempts: this.sumOtherAttempts(item.version),
    });
  }

  private ensure(key: string, configuration: Configuration): VersionEvidence {
    const known = this.get(key, configuration);
    if (known) return known;
    const version = configuration.versions[key];
    const customers = Object.values(configuration.customers).filter(
      customer => version && isPermitted(customer, version),
    );
    const evidence = new VersionEvidence(
      version?.since ?? 0,
      customers.length <= 1,
    );
    this.versions.set(key, evidence);
    return evidence;
  }

  /** Sums the recent attempts on all versions except one. */
  private sumOtherAttempts(excludedKey: string): DecayingStatistics {
    const total = new DecayingStatistics(Infinity);
    let successes = 0;
    for (const [key, {attempts}] of this.versions) {
      if (key === excludedKey) continue;
      total.count += attempts.count;
      successes += attempts.count * attempts.mean;
    }
    total.mean = total.count > 0 ? successes / total.count : 0;
    return total;
  }
}
