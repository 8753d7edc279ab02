/** Time constant of the meters, in milliseconds. */
const DECAY_MS = 1_000;
const MAX_CUSTOMERS = 10_000;
/** Customers whose decayed amounts sum to less than this are dropped. */
const NEGLIGIBLE = 0.001;

/** The rates of one customer, per second. @public */
export interface CustomerRates {
  /** Requests received, including refused ones. */
  readonly requests: number;
  /** Estimated output tokens of the requests received, including refused ones. */
  readonly tokens: number;
  /** Work admitted, in units of one generated token. */
  readonly units: number;
}

/** The rates of a customer without requests. @internal */
export const NO_RATES: CustomerRates = {requests: 0, tokens: 0, units: 0};

interface Meter extends Record<keyof CustomerRates, number> {
  at: number;
}

/** Measures the exponentially decaying rates of each customer at this entry. @public */
export class CustomerMeter {
  private readonly meters = new Map<string, Meter>();

  // Commands.

  /** Adds to a customer's rates; negative amounts correct an estimate. */
  record(customer: string, amounts: Partial<CustomerRates>): void {
    const meter = this.readDecayed(customer);
    meter.requests += amounts.requests ?? 0;
    meter.tokens += amounts.tokens ?? 0;
    meter.units = Math.max(0, meter.units + (amounts.units ?? 0));
    if (this.meters.size < MAX_CUSTOMERS) this.meters.set(customer, meter);
  }

  /** Drops customers whose rates have decayed to almost zero. */
  prune(): void {
    for (const customer of this.meters.keys()) {
      const {requests, tokens, units} = this.readDecayed(customer);
      if (requests + tokens + units < NEGLIGIBLE) this.meters.delete(customer);
    }
  }

  // Queries.

  /** Reads a customer's rates. */
  read(customer: string): CustomerRates {
    const {requests, tokens, units} = this.readDecayed(customer);
    const perSecond = 1_000 / DECAY_MS;
    return {
      requests: requests * perSecond,
      tokens: tokens * perSecond,
      units: units * perSecond,
    };
  }

  /** Lists the customers whose rates are measured. */
  listCustomers(): string[] {
    return [...this.meters.keys()];
  }

  private readDecayed(customer: string): Meter {
    const now = performance.now();
    const meter = this.meters.get(customer) ?? {...NO_RATES, at: now};
    const decay = Math.exp(-(now - meter.at) / DECAY_MS);
    meter.requests *= decay;
    meter.tokens *= decay;
    meter.units *= decay;
    meter.at = now;
    return meter;
  }
}
