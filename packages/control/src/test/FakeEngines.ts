import type {
  Configuration,
  ReportedServer,
  ServerReport,
  VersionRef,
} from '@sycamorehead/schema';
import {
  EMPTY_CONFIGURATION,
  SycamoreheadError,
  formatVersionKey,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {
  Reconciler,
  ReconcilerHost,
  ReconcilerOptions,
} from '../lib/reconciler/Reconciler.js';
import type {
  EngineOrderMessage,
  OrderOutcome,
} from '../lib/reconciler/sendOrder.js';

/** A version in a test configuration. */
export interface FakeVersion {
  readonly version: string;
  readonly replicas: number;
  readonly state?: Configuration['versions'][string]['state'];
  readonly step?: number;
  readonly replaces?: string;
  readonly shares?: readonly number[];
}

/** Builds a configuration of versions of the model `m`. */
export function buildConfiguration(
  versions: readonly FakeVersion[],
): Configuration {
  const entries = versions.map(given => {
    const {version, replicas, state, step, replaces, shares} = given;
    const rollout = replaces && {
      replaces,
      steps: (shares ?? [1]).map(share => ({share, soakSeconds: 0})),
      guard: {minQuality: 0.5, maxErrorRate: 0.1, minRatings: 30},
    };
    const configured = {
      model: 'm',
      version,
      replicas,
      inputPrice: 1,
      outputPrice: 1,
      contextTokens: 1_000,
      qualityPrior: 0.8,
      state: state ?? (replaces ? 'rolling_out' : 'active'),
      step: step ?? 0,
      ...(rollout && {rollout}),
    };
    return [formatVersionKey({model: 'm', version}), configured] as const;
  });
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    versions: Object.fromEntries(entries),
  } as Configuration;
}

/** A simulated engine without a network. */
export class FakeEngine {
  versions: VersionRef[];
  /** Whether loads never finish. */
  isStuck = false;
  readonly executed: EngineOrderMessage[] = [];
  private generation = 1;
  private highestFencing = 0;
  private loading: VersionRef | undefined;

  constructor(
    readonly id: string,
    loaded: readonly string[],
    readonly fencing: ReportedServer['fencing'] = 'checked',
    readonly versionSlots = 2,
  ) {
    this.versions = loaded.map(version => ({model: 'm', version}));
  }

  execute(order: EngineOrderMessage, loadMs: number): OrderOutcome {
    const {action, model, version, fencing} = order;
    if (this.fencing === 'checked' && fencing < this.highestFencing) {
      return {state: 'fenced'};
    }
    this.highestFencing = Math.max(this.highestFencing, fencing);
    this.executed.push(order);
    this.loading = undefined;
    this.versions = this.versions.filter(loaded => loaded.version !== version);
    if (action === 'load') {
      const loading = {model, version};
      this.loading = loading;
      setTimeout(() => {
        if (this.isStuck || this.loading !== loading) return;
        this.versions.push(loading);
      }, loadMs);
    }
    return {state: 'accepted'};
  }

  /** Restarts the engine, which loses its loaded versions and the load in progress. */
  restart(): void {
    this.versions = [];
    this.loading = undefined;
    this.highestFencing = 0;
    this.generation += 1;
  }

  describe(): ReportedServer {
    const {id, generation, versions, fencing, versionSlots} = this;
    return {
      id,
      address: id,
      dataCentre: 'dc-1',
      generation,
      sequence: Math.floor(performance.now()),
      state: 'ready',
      versions: [...versions],
      slots: 4,
      fencing,
      versionSlots,
      alive: true,
    };
  }
}

/** Settings of FakeEngines. */
export interface FakeEnginesOptions {
  readonly loadMs: number;
  readonly loadsPerSecond: number;
}

/** Simulated engines, a rate-limited weight store, and the log shared by all leaders. */
export class FakeEngines {
  configuration: Configuration = EMPTY_CONFIGURATION;
  /** Name of the leader; the other instances are refused. */
  leader = 'c1';
  term = 1;
  refusedLoads = 0;
  /** Lowest number of servers that had each version loaded at any report. */
  readonly lowestCounts = new Map<string, number>();
  private logIndex = 0;
  private loadStarts: number[] = [];

  constructor(
    readonly engines: readonly FakeEngine[],
    readonly options: FakeEnginesOptions = {loadMs: 500, loadsPerSecond: 4},
  ) {}

  /** Creates a control instance's reconciler. */
  createReconciler(
    name: string,
    overrides: Partial<ReconcilerOptions> = {},
  ): Reconciler {
    const assertLeads = () => {
      if (this.leader === name) return;
      throw new SycamoreheadError('not_leader', name);
    };
    const host: ReconcilerHost = {
      confirmLeadership: async () => assertLeads(),
      getStatus: () => ({
        role: this.leader === name ? 'leader' : 'follower',
        term: this.term,
        leader: this.leader,
      }),
      getConfiguration: () => this.configuration,
      commitOrder: async () => {
        assertLeads();
        this.logIndex += 1;
        return this.logIndex;
      },
    };
    return new Reconciler(host, {
      weightStore: {loads: this.options.loadsPerSecond, windowMs: 1_000},
      loadTimeoutMs: 5_000,
      sendOrder: async (address, order) => this.execute(address, order),
      ...overrides,
    });
  }

  execute(address: string, order: EngineOrderMessage): OrderOutcome {
    const engine = this.engines.find(({id}) => id === address);
    if (!engine) return {state: 'unknown'};
    if (order.action === 'load' && !this.acquireLoad()) {
      return {state: 'refused', retryAfterMs: 500};
    }
    return engine.execute(order, this.options.loadMs);
  }

  /** Reports all engines, as an entry does. */
  report(reconciler: Reconciler): void {
    for (const key of Object.keys(this.configuration.versions)) {
      const before = this.lowestCounts.get(key) ?? Infinity;
      this.lowestCounts.set(key, Math.min(before, this.count(key)));
    }
    const report: ServerReport = {
      entry: 'e1',
      full: true,
      servers: this.engines.map(engine => engine.describe()),
      dropped: [],
      loads: {},
    };
    try {
      reconciler.receive(report);
    } catch (error) {
      if (toSycamoreheadError(error).kind !== 'not_leader') throw error;
    }
  }

  /** Counts the engines that have a version loaded, by `m/version`. */
  count(key: string): number {
    return this.engines.filter(({versions}) =>
      versions.some(loaded => formatVersionKey(loaded) === key),
    ).length;
  }

  /** Lists the orders executed by all engines. */
  listExecuted(): EngineOrderMessage[] {
    return this.engines.flatMap(({executed}) => executed);
  }

  private acquireLoad(): boolean {
    const now = performance.now();
    this.loadStarts = this.loadStarts.filter(at => at > now - 1_000);
    if (this.loadStarts.length >= this.options.loadsPerSecond) {
      this.refusedLoads += 1;
      return false;
    }
    this.loadStarts.push(now);
    return true;
  }
}
