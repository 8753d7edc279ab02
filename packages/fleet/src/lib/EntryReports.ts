import {ServerWarmup, limitCount} from '@sycamorehead/schema';
import {ColdPermitPool} from './ColdPermitPool.js';
import {ColdBound, DEFAULT_COLD_BOUND} from './computeColdRate.js';
import {CrashPool} from './CrashPool.js';
import {filterReport} from './filterReport.js';
import type {
  ExchangeReply,
  ExchangeRequest,
  LoadDigest,
} from './fleetMessages.js';
import {LimitPool} from './LimitPool.js';
import {LoadExchange} from './LoadExchange.js';
import {PromptNewsPool} from './PromptNewsPool.js';

/** Settings of EntryReports. @public */
export interface EntryReportsOptions {
  /** Name of this control instance. */
  readonly instance: string;
  /** Random id of this run of the process. */
  readonly incarnation: string;
  /** Returns the number of known control instances, including this one. */
  countControls(): number;
  /** Lists the combinations of prompt segments that are in quarantine. */
  listQuarantined(): ReadonlyArray<readonly string[]>;
  /** The bound on sends to cold servers; the default if absent. */
  readonly coldBound?: ColdBound | undefined;
  /** Returns what an incarnation of a server bears while it is cold; absent if none is ever cold. */
  findWarmup?(incarnation: string): ServerWarmup | undefined;
  /** Called with the permits for a cold server that an entry wants, and how many are granted. */
  onColdGrant?(wanted: number, granted: number): void;
}

/**
 * What one control instance pools of the reports of its entries, and exchanges with the other control
 * instances in digests.
 *
 * @public
 */
export class EntryReports {
  readonly load: LoadExchange;
  readonly crashes: CrashPool;
  readonly limits: LimitPool;
  private readonly cold: ColdPermitPool;
  private readonly prompts = new PromptNewsPool();

  constructor(private readonly options: EntryReportsOptions) {
    const {instance} = options;
    this.load = new LoadExchange(instance, () => options.countControls());
    this.crashes = new CrashPool(() => options.listQuarantined());
    this.limits = new LimitPool(() => this.load.computeShare());
    this.cold = new ColdPermitPool({
      bound: options.coldBound ?? DEFAULT_COLD_BOUND,
      findWarmup: incarnation => options.findWarmup?.(incarnation),
      computeShare: () => this.load.computeFirmShare(),
      countControls: () => options.countControls(),
      onGrant: (wanted, granted) => options.onColdGrant?.(wanted, granted),
    });
  }

  // Commands.

  /** Adds an entry's report and returns what the other entries have reported. */
  exchange(received: ExchangeRequest): ExchangeReply {
    const request = filterReport(received, 1);
    const reply = this.load.exchange(request);
    return {
      ...reply,
      ...this.limits.exchange(request),
      ...this.cold.exchange(request),
      suspects: this.crashes.exchange(request),
      suspended: this.crashes.listSuspended(),
      prompts: this.prompts.exchange(request),
      control: this.options.incarnation,
    };
  }

  /** Adds the digest of another control instance. */
  acceptDigest(received: LoadDigest): void {
    const entries = limitCount(received.entries);
    const digest = {...filterReport(received, entries), entries};
    this.load.acceptDigest(digest);
    this.crashes.acceptDigest(digest);
    this.limits.acceptDigest(digest);
    this.prompts.acceptDigest(digest);
  }

  // Queries.

  /** Describes the reports of the entries that report to this instance. */
  describeDigest(): LoadDigest {
    return {
      ...this.load.describeDigest(),
      ...this.crashes.describeDigest(),
      ...this.limits.describeDigest(),
      ...this.prompts.describeDigest(),
    };
  }
}
