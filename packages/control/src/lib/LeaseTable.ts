/** What an entry is known to route on. @public */
export interface EntryConfirmation {
  readonly entry: string;
  /** Newest revision that the entry said it routes on. */
  readonly confirmedRevision: number;
  /** Whether the entry may still hold a lease. */
  readonly isLeased: boolean;
}

interface LeasedEntry {
  confirmedRevision: number;
  /** Monotonic time at which no lease granted to the entry can still hold. */
  leaseEndsAt: number;
}

/**
 * Which entries hold leases, and the revision each has confirmed. Lives on the leader only.
 *
 * @internal
 */
export class LeaseTable {
  private readonly entries = new Map<string, LeasedEntry>();

  constructor(
    private readonly leaseMs: number,
    private readonly forgetMs: number,
  ) {}

  /** Notes a granted lease and the revision that the entry confirmed with its request. */
  record(entry: string, confirmedRevision: number): void {
    this.expire();
    this.entries.set(entry, {
      confirmedRevision,
      leaseEndsAt: performance.now() + this.leaseMs,
    });
  }

  /** Returns each known entry with what it confirmed. */
  list(): EntryConfirmation[] {
    const now = performance.now();
    return [...this.entries]
      .map(([entry, {confirmedRevision, leaseEndsAt}]) => ({
        entry,
        confirmedRevision,
        isLeased: leaseEndsAt > now,
      }))
      .sort((left, right) => (left.entry < right.entry ? -1 : 1));
  }

  /** Tells whether no entry can still route on a revision below the given one. */
  isInForce(revision: number): boolean {
    return this.list().every(
      entry => !entry.isLeased || entry.confirmedRevision >= revision,
    );
  }

  private expire(): void {
    const oldest = performance.now() - this.forgetMs;
    for (const [entry, {leaseEndsAt}] of this.entries) {
      if (leaseEndsAt < oldest) this.entries.delete(entry);
    }
  }
}
