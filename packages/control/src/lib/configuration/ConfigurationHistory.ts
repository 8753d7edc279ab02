import {
  Configuration,
  LeaseGrant,
  diffConfigurations,
} from '@sycamorehead/schema';

const MAX_KEPT = 256;

/**
 * The newest configurations, so that an entry that is a little behind gets a delta. Unchanged
 * parts are shared between them.
 *
 * @internal
 */
export class ConfigurationHistory {
  private readonly kept = new Map<number, Configuration>();
  /** Updates to the newest revision by the revision they start from. */
  private readonly updates = new Map<number, Partial<LeaseGrant>>();
  private newest = -1;

  /** Adds the newest configuration. */
  add(configuration: Configuration): void {
    if (configuration.revision === this.newest) return;
    this.newest = configuration.revision;
    this.updates.clear();
    this.kept.set(configuration.revision, configuration);
    const [oldest] = this.kept.keys();
    if (this.kept.size > MAX_KEPT && oldest !== undefined) {
      this.kept.delete(oldest);
    }
  }

  /** Builds the part of a grant that brings an entry from its revision to the newest. */
  getUpdate(fromRevision: number, needsWhole = false): Partial<LeaseGrant> {
    const configuration = this.kept.get(this.newest);
    if (!configuration) return {};
    if (fromRevision === this.newest && !needsWhole) return {};
    const before = needsWhole ? undefined : this.kept.get(fromRevision);
    if (!before || fromRevision === 0) return {configuration};
    const known = this.updates.get(fromRevision);
    if (known) return known;
    const update = {delta: diffConfigurations(before, configuration)};
    this.updates.set(fromRevision, update);
    return update;
  }
}
