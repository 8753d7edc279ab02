/** The configuration revision that an entry has confirmed. @public */
export interface EntryConfirmation {
  readonly entry: string;
  /** Newest revision on which the entry has reported that it routes. */
  readonly confirmedRevision: number;
  /** Whether the entry may still have a valid lease. */
  readonly isLeased: boolean;
}

/** A lease granted to an entry. @internal */
export interface GrantedLease {
  readonly entry: string;
  readonly incarnation: string;
  /** Revision on which the entry has reported that it routes; 0 if it has none. */
  readonly confirmedRevision: number;
  /** Revision sent with the grant. */
  readonly grantedRevision: number;
}

interface LeasedEntry {
  readonly entry: string;
  readonly confirmedRevision: number;
  /** Lowest revision that the entry may route on. */
  readonly lowestRevision: number;
  /** Monotonic time from which no lease granted to the entry can be valid. */
  readonly leaseEndsAt: number;
}

/**
 * Bound on the drift rate of an instance's monotonic clock. A lease ends for the leader only when
 * it has ended for its entry, even if their clocks drift in opposite directions within this bound.
 */
const CLOCK_DRIFT_BOUND = 0.01;
/** Maximum number of retained entries, with or without a lease. */
const MAX_ENTRIES = 20_000;

/**
 * The entries' leases and the revision that each entry has confirmed. The table exists on the
 * leader only and is reset at the start of each of its terms.
 *
 * @internal
 */
export class LeaseTable {
  private readonly entries = new Map<string, LeasedEntry>();
  private readonly longestLeaseMs: number;
  private term = 0;
  /** Monotonic time until which leases granted by an earlier leader may be valid. */
  private formerLeasesUntil = 0;

  constructor(
    leaseMs: number,
    private readonly retentionMs: number,
  ) {
    const driftFactor = (1 + CLOCK_DRIFT_BOUND) / (1 - CLOCK_DRIFT_BOUND);
    this.longestLeaseMs = leaseMs * driftFactor;
  }

  /**
   * Starts a term of leadership that a quorum has confirmed. Before the first revision no entry can
   * route on a lease; afterwards the leases of an earlier leader must expire first.
   */
  startTerm(term: number, committedRevision: number): void {
    if (term === this.term) return;
    this.term = term;
    this.entries.clear();
    const waitMs = committedRevision === 0 ? 0 : this.longestLeaseMs;
    this.formerLeasesUntil = performance.now() + waitMs;
  }

  /** Records a granted lease. */
  record(lease: GrantedLease): void {
    this.expire();
    const {entry, incarnation, confirmedRevision, grantedRevision} = lease;
    const key = `${entry}\n${incarnation}`;
    const before = this.entries.get(key);
    // Without a confirmation the entry may still route on the revision that it was first granted.
    const firstRevision = before?.lowestRevision ?? grantedRevision;
    this.entries.delete(key);
    this.entries.set(key, {
      entry,
      // An entry never returns to an older revision, so a lower one comes from a reordered request.
      confirmedRevision: Math.max(
        before?.confirmedRevision ?? 0,
        confirmedRevision,
      ),
      lowestRevision:
        confirmedRevision === 0
          ? firstRevision
          : Math.max(before?.lowestRevision ?? 0, confirmedRevision),
      leaseEndsAt: performance.now() + this.longestLeaseMs,
    });
  }

  /** Lists the known entries with the revision that each has confirmed. */
  list(): EntryConfirmation[] {
    const now = performance.now();
    return [...this.entries.values()]
      .map(({entry, confirmedRevision, leaseEndsAt}) => ({
        entry,
        confirmedRevision,
        isLeased: leaseEndsAt > now,
      }))
      .sort((left, right) => (left.entry < right.entry ? -1 : 1));
  }

  /** Returns whether no entry can still route on a revision below the given one. */
  isInForce(revision: number): boolean {
    const now = performance.now();
    if (now < this.formerLeasesUntil) return false;
    for (const {leaseEndsAt, lowestRevision} of this.entries.values()) {
      if (leaseEndsAt > now && lowestRevision < revision) return false;
    }
    return true;
  }

  /** Removes old entries. The oldest come first, since each renewal moves its entry to the end. */
  private expire(): void {
    const now = performance.now();
    for (const [key, {leaseEndsAt}] of this.entries) {
      const isExpired = leaseEndsAt < now - this.retentionMs;
      const isEvicted = leaseEndsAt < now && this.entries.size >= MAX_ENTRIES;
      if (!isExpired && !isEvicted) return;
      this.entries.delete(key);
    }
  }
}
