/** Time constant of the meters, in milliseconds. */
const DECAY_MS = 1_000;
const MAX_CUSTOMERS = 10_000;
/** Rates below this are forgotten. */
const NEGLIGIBLE = 0.001;

/** Rates of one customer, a second. @public */
export interface CustomerRates {
  /** Requests asked for, refused ones too. */
  readonly requests: number;
  /** Generated tokens asked for, as estimated, of refused requests too. */
  readonly tokens: number;
  /** Work admitted, in units of one generated token. */
  readonly units: number;
}

/** No use at all. @internal */
export const NO_RATES: CustomerRates = {requests: 0, tokens: 0, units: 0};

interface Meter extends Record<keyof CustomerRates, number> {
  at: number;
}

/** Exponentially decaying rates of each customer at this entry. @public */
export class CustomerMeter {
  private readonly meters = new Map<string, Meter>();

  // Commands.

  /** Adds to a customer's rates; negative amounts correct an estimate. */
  record(customer: string, amounts: Partial<CustomerRates>): void {
    const meter = this.readFaded(customer);
    meter.requests += amounts.requests ?? 0;
    meter.tokens += amounts.tokens ?? 0;
    meter.units = Math.max(0, meter.units + (amounts.units ?? 0));
    if (this.meters.size < MAX_CUSTOMERS) this.meters.set(customer, meter);
  }

  /** Forgets customers whose rates have faded. */
  prune(): void {
    for (const customer of this.meters.keys()) {
      const {requests, tokens, units} = this.readFaded(customer);
      if (requests + tokens + units < NEGLIGIBLE) this.meters.delete(customer);
    }
  }

  // Queries.

  /** Reads a customer's rates. */
  read(customer: string): CustomerRates {
    const {requests, tokens, units} = this.readFaded(customer);
    const perSecond = 1_000 / DECAY_MS;
    return {
      requests: requests * perSecond,
      tokens: tokens * perSecond,
      units: units * perSecond,
    };
  }

  /** Lists the customers with a rate. */
  listCustomers(): string[] {
    return [...this.meters.keys()];
  }

  private readFaded(customer: string): Meter {
    const now = performance.now();
    const meter = this.meters.get(customer) ?? {...NO_RATES, at: now};
    const kept = Math.exp(-(now - meter.at) / DECAY_MS);
    meter.requests *= kept;
    meter.tokens *= kept;
    meter.units *= kept;
    meter.at = now;
    return meter;
  }
}
