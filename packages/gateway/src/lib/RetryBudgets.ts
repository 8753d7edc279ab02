import {RetryBudget, RetryBudgetOptions} from '@sycamorehead/routing';

/**
 * One retry budget for each service.
 *
 * @public
 */
export class RetryBudgets {
  /** Entries that share the budgets, as the last exchange told. */
  entryCount = 1;
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private options: RetryBudgetOptions) {}

  /** Takes other bounds; what was counted under the old ones is forgotten. */
  setOptions(options: RetryBudgetOptions): void {
    if (JSON.stringify(options) === JSON.stringify(this.options)) return;
    this.options = options;
    this.budgets.clear();
  }

  /** Counts a request of a caller. */
  recordRequest(service: string): void {
    this.getBudget(service).recordRequest();
  }

  /** Takes one send beyond the first; returns whether the budget allows it. */
  acquire(service: string): boolean {
    return this.getBudget(service).acquire(this.entryCount);
  }

  /** Tells whether one more send would be allowed. */
  hasCapacity(service: string): boolean {
    return this.getBudget(service).hasCapacity(this.entryCount);
  }

  private getBudget(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget(this.options);
    this.budgets.set(service, budget);
    return budget;
  }
}
