import {
  Configuration,
  ReportedServer,
  VersionRef,
  formatVersionKey,
} from '@sycamorehead/schema';
import {
  ReplicaRequirement,
  computeReplicaRequirements,
} from './computeReplicaRequirements.js';

/**
 * Weight of a replica in the same data centre when engines are ranked; greater than the number of
 * versions that an engine can load, so that the data centre takes precedence.
 */
const MAX_ENGINE_VERSIONS = 1_000;

/** An order of the plan. @public */
export interface PlannedOrder {
  readonly action: 'load' | 'unload';
  readonly server: ReportedServer;
  readonly version: VersionRef;
}

/** An issued order whose effect has not been announced yet. @public */
export interface OpenOrder {
  readonly action: 'load' | 'unload';
  readonly version: VersionRef;
}

/** Input of planPlacement. @internal */
export interface PlacementInput {
  readonly configuration: Configuration;
  readonly servers: readonly ReportedServer[];
  /** Open orders by server. */
  readonly openOrders: ReadonlyMap<string, OpenOrder>;
  readonly getUtilization: (versionKey: string) => number;
  /** Returns whether a server has recently failed to load a version. */
  readonly isBlocked: (server: string, versionKey: string) => boolean;
  /** Returns whether every entry has stopped using a withdrawn version. */
  readonly mayUnload: (versionKey: string) => boolean;
}

/** The state of the placement of one version. @public */
export interface VersionPlacement {
  readonly version: VersionRef;
  /** Number of replicas declared for the state and step. */
  readonly declared: number;
  /** Number of declared replicas for which the engines have capacity. */
  readonly target: number;
  readonly minimum: number;
  readonly serving: number;
  readonly loading: number;
  /** Whether the engines lack the capacity for some declared replicas. */
  readonly lacksCapacity: boolean;
}

/** The next orders and the state of each version's placement. @internal */
export interface PlacementPlan {
  readonly unloads: readonly PlannedOrder[];
  /** Most urgent first. */
  readonly loads: readonly PlannedOrder[];
  readonly placements: ReadonlyMap<string, VersionPlacement>;
}

/** An engine with its loaded versions, updated by the planned orders. */
interface PlannedEngine {
  readonly server: ReportedServer;
  readonly isBusy: boolean;
  readonly serving: Set<string>;
  readonly loading: Set<string>;
  freeSlots: number;
}

/**
 * Plans the next orders from the committed configuration and the announced state: loads of missing
 * replicas, unloads of withdrawn versions, and unloads that free capacity for a version below its
 * minimum. No unload takes a version below its minimum, which is at least one replica while the
 * version is in service. New replicas are placed on the least filled engine of the data centre with
 * the fewest replicas, and loaded replicas are never moved.
 *
 * @internal
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  return new PlacementPlanner(input).plan();
}

class PlacementPlanner {
  private readonly engines: PlannedEngine[];
  private readonly requirements: Map<string, ReplicaRequirement>;
  private readonly loads: PlannedOrder[] = [];
  private readonly unloads: PlannedOrder[] = [];

  constructor(private readonly input: PlacementInput) {
    this.engines = input.servers
      .filter(({alive, state}) => alive && state === 'ready')
      .sort((left, right) => (left.id < right.id ? -1 : 1))
      .map(server => this.describeEngine(server));
    this.requirements = computeReplicaRequirements(
      input.configuration,
      input.getUtilization,
      key => this.countServing(key),
    );
  }

  plan(): PlacementPlan {
    const placements = new Map<string, VersionPlacement>();
    for (const [key, requirement] of this.requirements) {
      placements.set(key, this.describePlacement(key, requirement));
    }
    this.planWithdrawals();
    const mostUrgentFirst = [...placements].sort(
      ([, left], [, right]) => computeCoverage(left) - computeCoverage(right),
    );
    for (const [key, {target}] of mostUrgentFirst)
      this.planLoads(key, target, true);
    for (const [key] of mostUrgentFirst) {
      this.planLoads(key, this.requirements.get(key)?.desired ?? 0, false);
    }
    return {loads: this.loads, unloads: this.unloads, placements};
  }

  private describeEngine(server: ReportedServer): PlannedEngine {
    const open = this.input.openOrders.get(server.id);
    const openKey = open && formatVersionKey(open.version);
    const loaded = server.versions.map(formatVersionKey);
    const isLoading =
      open?.action === 'load' && !!openKey && !loaded.includes(openKey);
    const isUnloading = open?.action === 'unload';
    return {
      server,
      isBusy: open !== undefined,
      serving: new Set(loaded.filter(key => !(isUnloading && key === openKey))),
      loading: new Set(isLoading && openKey ? [openKey] : []),
      freeSlots: server.versionSlots - loaded.length - (isLoading ? 1 : 0),
    };
  }

  private describePlacement(
    key: string,
    requirement: ReplicaRequirement,
  ): VersionPlacement {
    const {model, version} = requirement.version;
    const reservedSlots = [...this.requirements]
      .filter(([other]) => other !== key)
      .reduce(
        (
          sum,
          [
            other,
            {
              minimum,
              version: {replicas},
            },
          ],
        ) => {
          // A version without declared replicas is never loaded by an order, so it requires capacity
          // only for the replicas that serve already.
          const isManaged = replicas > 0;
          return (
            sum +
            (isManaged ? minimum : Math.min(minimum, this.countServing(other)))
          );
        },
        0,
      );
    const totalSlots = this.engines.reduce(
      (sum, {server}) => sum + server.versionSlots,
      0,
    );
    const available = Math.min(this.engines.length, totalSlots - reservedSlots);
    const target = Math.max(0, Math.min(requirement.declared, available));
    return {
      version: {model, version},
      declared: requirement.declared,
      target,
      minimum: requirement.minimum,
      serving: this.countServing(key),
      loading: this.countLoading(key),
      lacksCapacity: target < requirement.declared,
    };
  }

  private countServing(key: string): number {
    return this.engines.filter(({serving}) => serving.has(key)).length;
  }

  private countLoading(key: string): number {
    return this.engines.filter(({loading}) => loading.has(key)).length;
  }

  private planWithdrawals(): void {
    for (const [key, {version}] of this.requirements) {
      if (version.state !== 'withdrawn') continue;
      for (const engine of this.engines) {
        // A load in progress is cancelled at once, since no request uses it yet.
        const isLoading = engine.loading.has(key);
        const isIdle = !engine.isBusy && engine.serving.has(key);
        const isDue = isLoading || (isIdle && this.input.mayUnload(key));
        if (isDue) this.planUnload(engine, version);
      }
    }
  }

  private planLoads(key: string, target: number, mayEvict: boolean): void {
    const {version, minimum} = this.requirements.get(key) ?? {};
    if (!version) return;
    let replicaCount = this.countServing(key) + this.countLoading(key);
    while (replicaCount < target) {
      const engine = this.chooseEngine(key, ({freeSlots}) => freeSlots > 0);
      if (!engine) break;
      engine.loading.add(key);
      engine.freeSlots -= 1;
      this.loads.push({action: 'load', server: engine.server, version});
      replicaCount += 1;
    }
    const minimumTarget = Math.min(minimum ?? 0, target);
    // Counts the unloads in progress, so that capacity is not freed twice.
    replicaCount += this.engines.filter(
      ({isBusy, loading}) => isBusy && loading.size === 0,
    ).length;
    for (; mayEvict && replicaCount < minimumTarget; replicaCount += 1) {
      if (!this.planEviction(key)) return;
    }
  }

  /** Unloads a surplus replica; the freed capacity is used once the unload has been announced. */
  private planEviction(key: string): boolean {
    const engine = this.chooseEngine(
      key,
      candidate => this.findEvictable(candidate) !== undefined,
    );
    const evictable = engine && this.findEvictable(engine);
    if (!engine || !evictable) return false;
    this.planUnload(engine, evictable);
    return true;
  }

  private findEvictable(engine: PlannedEngine): VersionRef | undefined {
    if (engine.freeSlots > 0) return undefined;
    return engine.server.versions.find(version => {
      const key = formatVersionKey(version);
      const requirement = this.requirements.get(key);
      if (!engine.serving.has(key)) return false;
      return !requirement || this.countServing(key) > requirement.minimum;
    });
  }

  private planUnload(engine: PlannedEngine, version: VersionRef): void {
    const {model, version: name} = version;
    const key = formatVersionKey(version);
    engine.serving.delete(key);
    engine.loading.delete(key);
    this.unloads.push({
      action: 'unload',
      server: engine.server,
      version: {model, version: name},
    });
  }

  /** Chooses the least filled idle engine in the data centre with the fewest replicas. */
  private chooseEngine(
    key: string,
    isSuitable: (engine: PlannedEngine) => boolean,
  ): PlannedEngine | undefined {
    const hasVersion = ({serving, loading}: PlannedEngine) =>
      serving.has(key) || loading.has(key);
    const replicasByDataCentre = new Map<string, number>();
    for (const engine of this.engines.filter(hasVersion)) {
      const {dataCentre} = engine.server;
      replicasByDataCentre.set(
        dataCentre,
        (replicasByDataCentre.get(dataCentre) ?? 0) + 1,
      );
    }
    const getRank = ({server, serving, loading}: PlannedEngine) =>
      (replicasByDataCentre.get(server.dataCentre) ?? 0) * MAX_ENGINE_VERSIONS +
      serving.size +
      loading.size;
    let best: PlannedEngine | undefined;
    for (const engine of this.engines) {
      const isPlanned = this.unloads.some(
        ({server}) => server.id === engine.server.id,
      );
      if (engine.isBusy || isPlanned || hasVersion(engine)) continue;
      if (this.input.isBlocked(engine.server.id, key)) continue;
      if (!isSuitable(engine)) continue;
      if (!best || getRank(engine) < getRank(best)) best = engine;
    }
    return best;
  }
}

/** Computes the fraction of its target replicas that a version is serving or loading. */
function computeCoverage({target, serving, loading}: VersionPlacement): number {
  return target === 0 ? Infinity : (serving + loading) / target;
}
