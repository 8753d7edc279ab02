/** What an entry is known to route on. @public */
export interface EntryConfirmation {
  readonly entry: string;
  /** Newest revision that the entry said it routes on. */
  readonly confirmedRevision: number;
  /** Whether the entry may still hold a lease. */
  readonly isLeased: boolean;
}

/** A lease as it is granted. @internal */
export interface GrantedLease {
  readonly entry: string;
  readonly incarnation: string;
  /** Revision that the entry said it routes on; 0 where it has none. */
  readonly confirmedRevision: number;
  /** Revision that the grant carries. */
  readonly grantedRevision: number;
}

interface LeasedEntry {
  readonly entry: string;
  readonly confirmedRevision: number;
  /** Lowest revision that the entry may route on. */
  readonly lowestRevision: number;
  /** Monotonic time at which no lease granted to the entry can still hold. */
  readonly leaseEndsAt: number;
}

/**
 * Bound on how far the rate of an instance's monotonic clock is off: two clocks that are off in
 * opposite directions still agree on when a lease has run out.
 */
const CLOCK_DRIFT_BOUND = 0.01;
/** Entries remembered, leased or not. */
const MAX_ENTRIES = 20_000;

/**
 * Which entries hold leases, and the revision each has confirmed. Lives on the leader only, and
 * begins anew with each of its terms.
 *
 * @internal
 */
export class LeaseTable {
  private readonly entries = new Map<string, LeasedEntry>();
  private readonly longestLeaseMs: number;
  private term = 0;
  /** Until then, leases that an earlier leader granted may hold. */
  private unknownUntil = 0;

  constructor(
    leaseMs: number,
    private readonly forgetMs: number,
  ) {
    const worst = (1 + CLOCK_DRIFT_BOUND) / (1 - CLOCK_DRIFT_BOUND);
    this.longestLeaseMs = leaseMs * worst;
  }

  /**
   * Begins a term of leadership, confirmed by a quorum. Before the first revision no entry can
   * hold a lease that it routes on; afterwards one lease has to run out.
   */
  startTerm(term: number, committedRevision: number): void {
    if (term === this.term) return;
    this.term = term;
    this.entries.clear();
    const waitMs = committedRevision === 0 ? 0 : this.longestLeaseMs;
    this.unknownUntil = performance.now() + waitMs;
  }

  /** Notes a granted lease. */
  record(lease: GrantedLease): void {
    this.expire();
    const {entry, incarnation, confirmedRevision, grantedRevision} = lease;
    const key = `${entry}\n${incarnation}`;
    const before = this.entries.get(key);
    // Without a confirmation the entry may hold what it was first granted.
    const first = before?.lowestRevision ?? grantedRevision;
    this.entries.delete(key);
    this.entries.set(key, {
      entry,
      // An entry never goes back, so a lower number comes from a request that was overtaken.
      confirmedRevision: Math.max(
        before?.confirmedRevision ?? 0,
        confirmedRevision,
      ),
      lowestRevision:
        confirmedRevision === 0
          ? first
          : Math.max(before?.lowestRevision ?? 0, confirmedRevision),
      leaseEndsAt: performance.now() + this.longestLeaseMs,
    });
  }

  /** Returns each known entry with what it confirmed. */
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

  /** Tells whether no entry can still route on a revision below the given one. */
  isInForce(revision: number): boolean {
    const now = performance.now();
    if (now < this.unknownUntil) return false;
    for (const {leaseEndsAt, lowestRevision} of this.entries.values()) {
      if (leaseEndsAt > now && lowestRevision < revision) return false;
    }
    return true;
  }

  /** The oldest come first, since each renewal puts its entry at the end. */
  private expire(): void {
    const now = performance.now();
    for (const [key, {leaseEndsAt}] of this.entries) {
      const isForgotten = leaseEndsAt < now - this.forgetMs;
      const isDropped = leaseEndsAt < now && this.entries.size >= MAX_ENTRIES;
      if (!isForgotten && !isDropped) return;
      this.entries.delete(key);
    }
  }
}
