import {
  Configuration,
  ReportedServer,
  ServerReport,
  ServerReportResponse,
  SycamoreheadError,
  VersionRef,
  formatVersionKey,
} from '@sycamorehead/schema';
import type {LogStatus} from '@sycamorehead/consensus';
import {createLogger} from '@sycamorehead/telemetry';
import {computeShare} from './computeReplicaRequirements.js';
import {LoadPacer, WeightStoreRate} from './LoadPacer.js';
import {OpenOrders} from './OpenOrders.js';
import {PlacementPlan, PlannedOrder, planPlacement} from './planPlacement.js';
import {RolloutStatus, describeRollout} from './describeRollout.js';
import {OrderSender, sendOrder} from './sendOrder.js';
import {ServerReports} from './ServerReports.js';

const log = createLogger('reconciler');

const MAX_ORDERS_PER_TICK = 32;

/** Settings of a Reconciler. @public */
export interface ReconcilerOptions {
  /** Rate limit of the weight store. */
  readonly weightStore: WeightStoreRate;
  readonly tickMs: number;
  /** Timeout for an engine's answer to an order, in milliseconds. */
  readonly orderTimeoutMs: number;
  /** Time for which a deposed leader may still believe that it leads, in milliseconds. */
  readonly leaderLeaseMs: number;
  /**
   * Time for which a new leader collects the entries' reports before it issues orders, in
   * milliseconds.
   */
  readonly settleMs: number;
  /** Time within which an engine must announce the effect of an order, in milliseconds. */
  readonly loadTimeoutMs: number;
  /**
   * Delay from the withdrawal of a version to its first unload, in milliseconds; meanwhile entries
   * stop using the version.
   */
  readonly unloadDelayMs: number;
  /** Sends an order; tests replace the HTTP request. */
  readonly sendOrder: OrderSender;
}

/** Default settings. @public */
export const DEFAULT_RECONCILER_OPTIONS: ReconcilerOptions = {
  weightStore: {loads: 4, windowMs: 60_000},
  tickMs: 250,
  orderTimeoutMs: 2_000,
  leaderLeaseMs: 3_000,
  settleMs: 5_000,
  loadTimeoutMs: 300_000,
  unloadDelayMs: 5_000,
  sendOrder,
};

/** The reconciler's interface to the control instance that it runs on. @internal */
export interface ReconcilerHost {
  /** Returns once a quorum has confirmed that this instance leads; throws otherwise. */
  confirmLeadership(): Promise<void>;
  getStatus(): Pick<LogStatus, 'role' | 'term' | 'leader'>;
  getConfiguration(): Configuration;
  /** Commits an order and returns its fencing number, which is its index in the log. */
  commitOrder(order: {
    action: 'load' | 'unload';
    server: string;
    version: VersionRef;
  }): Promise<number>;
}

interface Leadership {
  readonly term: number;
  readonly since: number;
}

/**
 * Brings the engines' versions in line with the committed configuration, on the leader only. Each
 * tick plans from the committed configuration and the announced state alone, so that a new leader
 * needs no state of its predecessor and an interrupted roll-out continues automatically.
 *
 * @public
 */
export class Reconciler {
  private readonly options: ReconcilerOptions;
  private readonly reports = new ServerReports();
  private readonly orders = new OpenOrders();
  private readonly pacer: LoadPacer;
  /** Time at which this leader first saw a version withdrawn. */
  private readonly withdrawnSince = new Map<string, number>();
  private leadership: Leadership | undefined;
  private plan: PlacementPlan | undefined;
  private timer: NodeJS.Timeout | undefined;
  private wakeTimer: NodeJS.Timeout | undefined;
  private isReconciling = false;
  private stopped = false;

  constructor(
    private readonly host: ReconcilerHost,
    options: Partial<ReconcilerOptions> = {},
  ) {
    this.options = {...DEFAULT_RECONCILER_OPTIONS, ...options};
    this.pacer = new LoadPacer(this.options.weightStore);
  }

  // Commands.

  /**
   * Accepts an entry's report if this instance believes that it leads. A quorum need not confirm
   * this, since a report changes no committed state, and each order confirms the leadership.
   *
   * @throws SycamoreheadError `not_leader`.
   */
  receive(report: ServerReport): ServerReportResponse {
    const {role, leader} = this.host.getStatus();
    if (role !== 'leader') {
      throw new SycamoreheadError('not_leader', 'reports go to the leader', {
        leader,
      });
    }
    this.startTicking();
    return this.reports.receive(report);
  }

  /** Stops issuing orders. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
    clearTimeout(this.wakeTimer);
  }

  /** Plans and issues the orders that are due; runs at each tick after the first report. */
  async reconcile(): Promise<void> {
    if (this.isReconciling || this.stopped) return;
    this.isReconciling = true;
    try {
      if (await this.ensureLeadership()) await this.issueOrders();
    } catch (error) {
      log('reconcile_failed', {error: String(error)});
    } finally {
      this.isReconciling = false;
    }
  }

  // Queries.

  /** Returns whether a version has all the replicas that its roll-out step requires. */
  isPlacementReady(version: VersionRef): boolean {
    const placement = this.plan?.placements.get(formatVersionKey(version));
    if (!placement || !this.leadership) return false;
    if (this.findVersion(version)?.replicas === 0) {
      return placement.serving > 0;
    }
    return placement.target > 0 && placement.serving >= placement.target;
  }

  /** Describes the state of each version's placement and what it waits for. */
  listRollouts(): RolloutStatus[] {
    const configuration = this.host.getConfiguration();
    return Object.values(configuration.versions).map(version =>
      describeRollout({
        version,
        share: computeShare(version),
        placement: this.plan?.placements.get(formatVersionKey(version)),
        isSettled: this.isSettled(),
        isPaced: this.pacer.getWaitMs() > 0,
      }),
    );
  }

  /** Returns whether the entries have had time to report to this leader. */
  isSettled(): boolean {
    const {leadership, options} = this;
    if (!leadership) return false;
    return performance.now() - leadership.since >= options.settleMs;
  }

  private findVersion({model, version}: VersionRef) {
    const key = formatVersionKey({model, version});
    return this.host.getConfiguration().versions[key];
  }

  private startTicking(): void {
    if (this.timer || this.stopped) return;
    this.timer = setInterval(() => void this.reconcile(), this.options.tickMs);
    this.timer.unref();
  }

  /** Confirms the leadership; discards the state of an earlier term. */
  private async ensureLeadership(): Promise<boolean> {
    try {
      await this.host.confirmLeadership();
    } catch {
      this.leadership = undefined;
      this.plan = undefined;
      this.reports.clear();
      this.orders.clear();
      this.withdrawnSince.clear();
      return false;
    }
    const {term} = this.host.getStatus();
    if (this.leadership?.term !== term) {
      this.leadership = {term, since: performance.now()};
      this.orders.clear();
      log('leads', {term});
    }
    return true;
  }

  /**
   * Returns whether a server may be sent orders. A server that ignores fencing numbers may still be
   * executing an order of the former leader.
   */
  private isOrderable({fencing}: ReportedServer): boolean {
    if (fencing === 'checked') return true;
    const {leadership, options} = this;
    const waitMs = options.leaderLeaseMs + options.orderTimeoutMs;
    return !!leadership && performance.now() - leadership.since >= waitMs;
  }

  private async issueOrders(): Promise<void> {
    this.reports.expire();
    const servers = this.reports.listServers();
    this.orders.update(servers);
    this.trackWithdrawals();
    this.plan = planPlacement({
      configuration: this.host.getConfiguration(),
      servers,
      openOrders: this.orders.list(),
      getUtilization: key => this.reports.getUtilization(key),
      isBlocked: (server, key) => this.orders.isBlocked(server, key),
      mayUnload: key => this.isUnloadDue(key),
    });
    if (!this.isSettled()) return;
    let issuedCount = 0;
    for (const order of [...this.plan.unloads, ...this.plan.loads]) {
      if (issuedCount >= MAX_ORDERS_PER_TICK) return;
      if (!this.isOrderable(order.server)) continue;
      if (order.action === 'load' && !this.pacer.tryAcquire()) {
        this.scheduleLoad();
        return;
      }
      issuedCount += 1;
      await this.issueOrder(order);
    }
  }

  /**
   * Schedules the next planning for the time at which the weight store's rate limit allows a load.
   */
  private scheduleLoad(): void {
    clearTimeout(this.wakeTimer);
    const waitMs = Math.ceil(this.pacer.getWaitMs());
    if (waitMs >= this.options.tickMs) return;
    this.wakeTimer = setTimeout(() => void this.reconcile(), waitMs);
    this.wakeTimer.unref();
  }

  private trackWithdrawals(): void {
    const {versions} = this.host.getConfiguration();
    for (const [key, {state}] of Object.entries(versions)) {
      if (state !== 'withdrawn') this.withdrawnSince.delete(key);
      else if (!this.withdrawnSince.has(key)) {
        this.withdrawnSince.set(key, performance.now());
      }
    }
  }

  private isUnloadDue(key: string): boolean {
    const since = this.withdrawnSince.get(key) ?? Infinity;
    return performance.now() - since >= this.options.unloadDelayMs;
  }

  /** Commits the order, which confirms the leadership again, and sends it without waiting. */
  private async issueOrder(order: PlannedOrder): Promise<void> {
    const {action, server, version} = order;
    const {model, version: name} = version;
    const fencing = await this.host.commitOrder({
      action,
      server: server.id,
      version: {model, version: name},
    });
    const {loadTimeoutMs} = this.options;
    this.orders.add(order, fencing, loadTimeoutMs);
    log('order', {action, server: server.id, model, version: name, fencing});
    void this.send(order, fencing);
  }

  private async send(
    {action, server, version}: PlannedOrder,
    fencing: number,
  ): Promise<void> {
    const {model, version: name} = version;
    const outcome = await this.options.sendOrder(
      server.address,
      {action, model, version: name, fencing},
      this.options.orderTimeoutMs,
    );
    if (outcome.state === 'accepted') return;
    log('order_not_accepted', {server: server.id, state: outcome.state});
    // An order of unknown outcome stays open: it may still take effect.
    if (outcome.state === 'unknown') return;
    this.orders.close(server.id, fencing);
    if (outcome.state === 'refused' && action === 'load') {
      this.pacer.pause(outcome.retryAfterMs);
    }
  }
}
