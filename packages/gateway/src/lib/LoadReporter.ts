import type {ExchangeReply, ExchangeRequest} from '@sycamorehead/fleet';
import {PrefillRates, filterDemand, filterWaiting} from '@sycamorehead/routing';
import type {CrashObserver} from './CrashObserver.js';
import type {Placement} from './Placement.js';
import type {RetryBudgets} from './RetryBudgets.js';
import type {ServerTable} from './ServerTable.js';
import type {VersionSplit} from './VersionSplit.js';

/** Time from one whole report to the next, less half an interval, if the control instance takes brief ones. */
const WHOLE_REPORT_MS = 450;

/** What an entry reports of, and applies replies to. @internal */
export interface LoadReporterOptions {
  readonly entry: string;
  readonly servers: ServerTable;
  readonly versions: VersionSplit;
  readonly rates: PrefillRates;
  readonly crashes: CrashObserver;
  readonly budgets: RetryBudgets;
  readonly placement: Placement;
  /** Sends a report to a control instance. */
  exchange(request: ExchangeRequest): Promise<ExchangeReply>;
}

/**
 * Reports what this entry has observed to the control instances, and applies what the others have.
 *
 * @internal
 */
export class LoadReporter {
  /** What the control instances suspect, and want to know when it was answered. */
  private suspects: readonly string[] = [];
  /** Incarnation of the control instance that answered last. */
  private control: string | undefined;
  /** Whether the control instance takes brief reports, by its last reply. */
  private takesBrief = false;
  /** When the last whole report was sent, on the monotonic clock. */
  private wholeSentAt = -Infinity;

  constructor(private readonly options: LoadReporterOptions) {}

  /** Performs one exchange. */
  async exchangeReports(): Promise<void> {
    const sentAt = performance.now();
    const isBrief =
      this.takesBrief && sentAt - this.wholeSentAt < WHOLE_REPORT_MS;
    if (!isBrief) this.wholeSentAt = sentAt;
    const request = this.buildRequest(isBrief);
    const reply = await this.sendReport(request);
    // What the others told is not believed once the instance is isolated.
    this.takesBrief = reply.takesBrief === true && !reply.isIsolated;
    const {crashes} = this.options;
    // All control instances may have restarted at the same time, which loses what they had pooled.
    if (reply.control !== this.control) crashes.resetReports();
    this.control = reply.control;
    crashes.confirmReport(request.crashes ?? []);
    this.options.servers.limits.applyReply(reply, sentAt);
    this.options.servers.cold.applyReply(reply, sentAt);
    this.applyReply(reply);
  }

  private async sendReport(request: ExchangeRequest): Promise<ExchangeReply> {
    try {
      return await this.options.exchange(request);
    } catch (error) {
      // A report that is lost may have been a whole one.
      this.wholeSentAt = -Infinity;
      throw error;
    }
  }

  private buildRequest(isBrief: boolean): ExchangeRequest {
    const {entry, servers, versions, rates, crashes, placement} = this.options;
    return {
      entry,
      load: servers.listLoad(isBrief),
      evidence: versions.listEvidence(),
      leaving: servers.notices.listLeaving(),
      kept: versions.listKept(),
      prompts: servers.takePromptNews(),
      ...(isBrief
        ? {isBrief, waiting: placement.describeWaiting()}
        : {
            prefill: rates.listSums(),
            demand: placement.describeDemand(),
          }),
      crashes: crashes.listCrashes(),
      survivals: crashes.listSurvivals(this.suspects),
      ...servers.limits.takeReport(servers.listRegistrations(), service =>
        placement.countWaiting(service),
      ),
      ...servers.cold.takeReport(servers.listCold(), service =>
        placement.countWaiting(service),
      ),
    };
  }

  private applyReply(reply: ExchangeReply): void {
    const {servers, versions, rates, budgets, placement, crashes} =
      this.options;
    budgets.updateEntryCount(reply.entries);
    servers.setOthersLoad(reply.load, reply.isBrief);
    versions.addKept(reply.kept ?? []);
    servers.addPromptNews(reply.prompts ?? {});
    if (!reply.isBrief) rates.setOthers(reply.prefill ?? {});
    servers.notices.addLeaving(reply.leaving ?? []);
    this.suspects = reply.suspects ?? [];
    crashes.setSuspects(this.suspects);
    crashes.setSuspended(reply.suspended ?? []);
    this.applyDemand(reply);
    placement.offerSlots();
  }

  private applyDemand(reply: ExchangeReply): void {
    const {placement} = this.options;
    const {entries, demand, waiting, isIsolated} = reply;
    if (reply.isBrief && !isIsolated) {
      placement.updateOthersWaiting(filterWaiting(waiting, entries));
      return;
    }
    placement.updateOthersDemand(
      isIsolated || !demand ? undefined : filterDemand(demand, entries),
    );
  }
}
