import {
  Configuration,
  LeaseGrant,
  diffConfigurations,
  evictOldest,
} from '@sycamorehead/schema';

const MAX_RETAINED = 256;

/**
 * The newest configurations, from which a delta is computed for an entry that is a few revisions
 * behind. Configurations share their unchanged parts.
 *
 * @internal
 */
export class ConfigurationHistory {
  private readonly retained = new Map<number, Configuration>();
  /** Cached updates to the newest revision, by the revision that they start from. */
  private readonly updates = new Map<number, Partial<LeaseGrant>>();
  private newest = -1;

  /** Adds the newest configuration. */
  add(configuration: Configuration): void {
    if (configuration.revision === this.newest) return;
    this.newest = configuration.revision;
    this.updates.clear();
    this.retained.set(configuration.revision, configuration);
    evictOldest(this.retained, MAX_RETAINED);
  }

  /** Returns the fields of a grant that update an entry from its revision to the newest. */
  getUpdate(fromRevision: number, needsWhole = false): Partial<LeaseGrant> {
    const configuration = this.retained.get(this.newest);
    if (!configuration) return {};
    if (fromRevision === this.newest && !needsWhole) return {};
    const before = needsWhole ? undefined : this.retained.get(fromRevision);
    if (!before || fromRevision === 0) return {configuration};
    const known = this.updates.get(fromRevision);
    if (known) return known;
    const update = {delta: diffConfigurations(before, configuration)};
    this.updates.set(fromRevision, update);
    return update;
  }
}
