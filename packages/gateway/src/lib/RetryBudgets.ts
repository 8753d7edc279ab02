import {RetryBudget, RetryBudgetOptions} from '@sycamorehead/routing';

/** Fraction of a budget that sends for a better answer may use. */
const ESCALATION_FRACTION = 0.8;

/** Factor by which the known number of entries may fall from one exchange to the next. */
const ENTRY_COUNT_DECAY = 0.998;

/**
 * Manages one retry budget for each service.
 *
 * @public
 */
export class RetryBudgets {
  /** The number of entries that share the budgets. */
  private entryCount = 1;
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private options: RetryBudgetOptions) {}

  /** Sets new bounds and drops what was counted under the old ones. */
  setOptions(options: RetryBudgetOptions): void {
    if (JSON.stringify(options) === JSON.stringify(this.options)) return;
    this.options = options;
    this.budgets.clear();
  }

  /**
   * Sets the number of entries as of an exchange. A lower number is taken over slowly: entries that
   * are out of reach for a while still spend their shares.
   */
  updateEntryCount(count: number): void {
    this.entryCount = Math.max(count, this.entryCount * ENTRY_COUNT_DECAY);
  }

  /** Counts a request of a caller. */
  recordRequest(service: string): void {
    this.getBudget(service).recordRequest();
  }

  /** Charges one send beyond the first and returns whether the budget allows it. */
  acquire(service: string): boolean {
    return this.getBudget(service).acquire(this.entryCount);
  }

  /** Returns the number of entries that share the budgets. */
  countEntries(): number {
    return this.entryCount;
  }

  /** Returns whether one more send after a failure would be allowed. */
  hasCapacity(service: string): boolean {
    return this.getBudget(service).hasCapacity(this.entryCount);
  }

  /**
   * Returns whether one more send for a better answer would be allowed. A part of the budget is kept
   * for requests that failed, which without it would get no answer at all.
   */
  hasEscalationCapacity(service: string): boolean {
    return this.getBudget(service).hasCapacity(
      this.entryCount,
      ESCALATION_FRACTION,
    );
  }

  private getBudget(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget(this.options);
    this.budgets.set(service, budget);
    return budget;
  }
}
