import type {Bill, JsonValue} from '@sycamorehead/schema';
import type {RequestRecords} from './RequestRecords.js';

/** Maximum number of individually retained bills; older ones remain only in the totals. */
const MAX_BILLS = 200_000;

/** The amount that one customer owes for one item. @public */
export interface LedgerTotal {
  readonly customer: string;
  readonly item: string;
  readonly bills: number;
  readonly amountMicros: number;
}

/** The ledger's totals, and the result of checking it against the request records. @public */
export interface LedgerReport {
  readonly totals: readonly LedgerTotal[];
  /** Requests that are done but have no bill; always empty unless there is a fault. */
  readonly unbilled: readonly string[];
  /** Requests whose outcome is unknown; they are not billed. */
  readonly unknown: readonly string[];
  /** Number of bills that remain only in the totals. */
  readonly foldedBills: number;
}

interface LedgerSnapshot {
  readonly bills: readonly Bill[];
  readonly totals: readonly LedgerTotal[];
  readonly foldedBills: number;
}

/**
 * Stores at most one bill for each request key. The totals include every bill ever recorded. The
 * newest bills are also retained individually, so that the bill of a resent request is found by its
 * key.
 *
 * @internal
 */
export class Ledger {
  private bills = new Map<string, Bill>();
  private totals = new Map<string, LedgerTotal>();
  private foldedBills = 0;

  constructor(private readonly maxBills = MAX_BILLS) {}

  // Commands.

  /** Records a bill; a second one with the same key changes nothing. */
  record(bill: Bill): {isNew: boolean} {
    if (this.bills.has(bill.requestKey)) return {isNew: false};
    this.bills.set(bill.requestKey, bill);
    this.addToTotal(bill);
    this.foldOldest();
    return {isNew: true};
  }

  restore(json: JsonValue): void {
    const {bills, totals, foldedBills} = json as unknown as LedgerSnapshot;
    this.bills = new Map(bills.map(bill => [bill.requestKey, bill]));
    this.totals = new Map(totals.map(total => [getTotalKey(total), total]));
    this.foldedBills = foldedBills;
  }

  // Queries.

  toJson(): JsonValue {
    const snapshot: LedgerSnapshot = {
      bills: [...this.bills.values()],
      totals: [...this.totals.values()],
      foldedBills: this.foldedBills,
    };
    return snapshot as unknown as JsonValue;
  }

  /** Lists the individually retained bills, of one customer if given. */
  list(customer?: string): Bill[] {
    const all = [...this.bills.values()];
    return customer ? all.filter(bill => bill.customer === customer) : all;
  }

  /** Returns the totals and compares the bills with the request records. */
  check(requests: RequestRecords): LedgerReport {
    // A bill that remains only in the totals cannot be looked up; its request record still shows
    // that it was recorded.
    const hasFoldedBills = this.foldedBills > 0;
    const unbilled = requests
      .listDone()
      .filter(({requestKey, isBilled}) => {
        if (!isBilled) return true;
        return !hasFoldedBills && !this.bills.has(requestKey);
      })
      .map(({requestKey}) => requestKey);
    return {
      totals: [...this.totals.values()],
      unbilled,
      unknown: requests.listUnknown(),
      foldedBills: this.foldedBills,
    };
  }

  private addToTotal(bill: Bill): void {
    const key = getTotalKey(bill);
    const before = this.totals.get(key);
    this.totals.set(key, {
      customer: bill.customer,
      item: bill.item,
      bills: (before?.bills ?? 0) + 1,
      amountMicros: (before?.amountMicros ?? 0) + bill.amountMicros,
    });
  }

  private foldOldest(): void {
    for (const key of this.bills.keys()) {
      if (this.bills.size <= this.maxBills) return;
      this.bills.delete(key);
      this.foldedBills += 1;
    }
  }
}

function getTotalKey({customer, item}: {customer: string; item: string}) {
  return `${customer}\n${item}`;
}
