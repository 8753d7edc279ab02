import {
  EngineOrderMessage,
  Reconciler,
  ReconcilerHost,
  ReconcilerOptions,
  sendOrder,
} from '@sycamorehead/control';
import {
  Configuration,
  EMPTY_CONFIGURATION,
  ReportedServer,
  SycamoreheadError,
  applyReleaseNote,
  parseReleaseNote,
} from '@sycamorehead/schema';
import {StandInEngine, StandInWeightStore} from '@sycamorehead/stand-ins';
import {countLoaded} from './measureRollout.js';

const ENGINES = 8;
const REPORT_INTERVAL_MS = 200;
const LOADS_BEFORE_FAILOVER = 3;
/** Delay of a late order; shorter than `orderTimeoutMs`, after which it would be aborted. */
const ORDER_DELAY_MS = 1_500;
const WAIT_TIMEOUT_MS = 40_000;
const OBSERVATION_MS = 3_000;
const WEIGHT_STORE_RATE = {loads: 4, windowMs: 1_000};
const RECONCILER_OPTIONS: Partial<ReconcilerOptions> = {
  weightStore: WEIGHT_STORE_RATE,
  leaderLeaseMs: 1_500,
  orderTimeoutMs: 2_000,
  settleMs: 1_000,
};

/** Result of a roll-out whose leader is deposed while one of its orders is delayed. @internal */
export interface FailoverResult {
  /** Orders of the deposed leader whose delivery was delayed. */
  readonly lateOrders: number;
  /** Late orders that engines accepted: they ignore fencing numbers or have seen no higher one. */
  readonly lateOrdersObeyed: number;
  /** Late orders whose version was still loaded at the end. */
  readonly lastingEffects: number;
  /** Time from the election of the new leader until no engine has the withdrawn version loaded. */
  readonly recoveredMs: number;
}

function buildConfiguration(state: 'published' | 'withdrawn'): Configuration {
  const formatVersion = (version: string) =>
    `- {model: m, version: ${version}, inputPrice: 1, outputPrice: 1, contextTokens: 1000, qualityPrior: 0.8, replicas: ${ENGINES}}`;
  const first = parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    ${formatVersion('v1')}
    ${formatVersion('v2')}
`);
  const configuration = applyReleaseNote(EMPTY_CONFIGURATION, first);
  if (state === 'published') return configuration;
  const second = parseReleaseNote(`
number: 2
follows: 1
withdraw: {versions: [{model: m, version: v2}]}
`);
  return applyReleaseNote(configuration, second);
}

/** Two reconcilers that share one simulated log, and the engines that receive their orders. */
class FailoverHarness {
  readonly engines: StandInEngine[] = [];
  configuration = buildConfiguration('published');
  leader = 'control-1';
  private term = 1;
  private logIndex = 0;
  readonly lateOrders: Array<{
    engine: StandInEngine;
    order: EngineOrderMessage;
  }> = [];
  acceptedLateOrders = 0;
  private readonly weightStore = new StandInWeightStore({
    loadMs: 200,
    loadsPerWindow: WEIGHT_STORE_RATE.loads,
    windowMs: WEIGHT_STORE_RATE.windowMs,
  });
  private timer: NodeJS.Timeout | undefined;
  readonly formerReconciler = this.createReconciler(
    'control-1',
    (address, order, ms) => this.sendDelayed(address, order, ms),
  );
  readonly newReconciler = this.createReconciler('control-2', sendOrder);

  async start(): Promise<void> {
    const weightStore = await this.weightStore.start();
    for (let index = 1; index <= ENGINES; index++) {
      const engine = new StandInEngine({
        id: `engine-${index}`,
        dataCentre: 'dc-1',
        versions: [{model: 'm', version: 'v1'}],
        speed: {slots: 4, stepMs: 4, stepMsPerJob: 1, prefillTokensPerMs: 20},
        fencing: index % 2 === 0 ? 'checked' : 'ignored',
        entries: [],
        serverKey: '',
        weightStore,
        versionSlots: 2,
      });
      await engine.start();
      this.engines.push(engine);
    }
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.formerReconciler.stop();
    this.newReconciler.stop();
    for (const engine of this.engines) await engine.stop();
    await this.weightStore.stop();
  }

  /** Replaces the former leader while one of its orders is still in flight. */
  electNewLeader(): void {
    this.leader = 'control-2';
    this.term += 1;
  }

  private createReconciler(
    name: string,
    send: ReconcilerOptions['sendOrder'],
  ): Reconciler {
    const confirmLeader = () => {
      if (this.leader === name) return;
      throw new SycamoreheadError('not_leader', name);
    };
    const host: ReconcilerHost = {
      confirmLeadership: async () => confirmLeader(),
      getStatus: () => ({
        role: this.leader === name ? 'leader' : 'follower',
        term: this.term,
        leader: this.leader,
      }),
      getConfiguration: () => this.configuration,
      commitOrder: async () => {
        confirmLeader();
        this.logIndex += 1;
        return this.logIndex;
      },
    };
    return new Reconciler(host, {...RECONCILER_OPTIONS, sendOrder: send});
  }

  /** Sends an order; every order after the first `LOADS_BEFORE_FAILOVER` is delayed. */
  private async sendDelayed(
    address: string,
    order: EngineOrderMessage,
    timeoutMs: number,
  ) {
    if (this.logIndex <= LOADS_BEFORE_FAILOVER) {
      return sendOrder(address, order, timeoutMs);
    }
    const engine = this.engines.find(
      ({address: ownAddress}) => ownAddress === address,
    );
    if (engine) this.lateOrders.push({engine, order});
    await new Promise(resolve => setTimeout(resolve, ORDER_DELAY_MS));
    const outcome = await sendOrder(address, order, timeoutMs);
    if (outcome.state === 'accepted') this.acceptedLateOrders += 1;
    return {state: 'unknown'} as const;
  }

  private report(): void {
    const servers = this.engines.map((engine, index) =>
      describeEngine(engine, index),
    );
    const leadingReconciler =
      this.leader === 'control-1' ? this.formerReconciler : this.newReconciler;
    leadingReconciler.receive({
      entry: 'e',
      full: true,
      servers,
      dropped: [],
      loads: {},
    });
  }
}

function describeEngine(engine: StandInEngine, index: number): ReportedServer {
  return {
    id: `engine-${index + 1}`,
    address: engine.address,
    dataCentre: 'dc-1',
    generation: 1,
    sequence: Math.floor(performance.now()),
    state: 'ready',
    versions: engine.listVersions(),
    slots: 4,
    fencing: (index + 1) % 2 === 0 ? 'checked' : 'ignored',
    versionSlots: 2,
    alive: true,
  };
}

/**
 * Deposes the leader of a roll-out while one of its orders is delayed, and withdraws the version
 * before the order arrives. The late load must not stay in effect.
 *
 * @internal
 */
export async function measureFailover(): Promise<FailoverResult> {
  const failover = new FailoverHarness();
  await failover.start();
  try {
    await waitFor(() => failover.lateOrders.length > 0);
    failover.electNewLeader();
    failover.configuration = buildConfiguration('withdrawn');
    const electedAt = performance.now();
    await new Promise(resolve =>
      setTimeout(resolve, ORDER_DELAY_MS + OBSERVATION_MS),
    );
    await waitFor(() => countLoaded(failover.engines, 'v2') === 0);
    const recoveredMs = Math.round(performance.now() - electedAt);
    await new Promise(resolve => setTimeout(resolve, OBSERVATION_MS));
    const lastingOrders = failover.lateOrders.filter(({engine, order}) =>
      engine.listVersions().some(loaded => loaded.version === order.version),
    );
    return {
      lateOrders: failover.lateOrders.length,
      lateOrdersObeyed: failover.acceptedLateOrders,
      lastingEffects: lastingOrders.length,
      recoveredMs,
    };
  } finally {
    await failover.stop();
  }
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > deadline)
      throw new Error(`condition not met within ${WAIT_TIMEOUT_MS} ms`);
    await new Promise(resolve => setTimeout(resolve, REPORT_INTERVAL_MS));
  }
}
