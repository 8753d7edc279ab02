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

/** Above the number of versions that an engine can hold. */
const MAX_FILL = 1_000;

/** An order that the plan asks for. @public */
export interface PlannedOrder {
  readonly action: 'load' | 'unload';
  readonly server: ReportedServer;
  readonly version: VersionRef;
}

/** An order that was given and whose effect is not announced yet. @public */
export interface OpenOrder {
  readonly action: 'load' | 'unload';
  readonly version: VersionRef;
}

/** What a plan is made from. @internal */
export interface PlacementInput {
  readonly configuration: Configuration;
  readonly servers: readonly ReportedServer[];
  /** Open orders by server. */
  readonly openOrders: ReadonlyMap<string, OpenOrder>;
  readonly getUtilization: (versionKey: string) => number;
  /** Whether a server has lately failed to load a version. */
  readonly isBlocked: (server: string, versionKey: string) => boolean;
  /** Whether every entry has stopped using a withdrawn version. */
  readonly mayUnload: (versionKey: string) => boolean;
}

/** Where the placement of one version stands. @public */
export interface VersionPlacement {
  readonly version: VersionRef;
  /** Replicas declared for the state and step. */
  readonly declared: number;
  /** Replicas wanted, as far as there are engines with room for them. */
  readonly target: number;
  readonly minimum: number;
  readonly serving: number;
  readonly loading: number;
  /** Whether replicas are missing for which no engine has room. */
  readonly lacksCapacity: boolean;
}

/** A plan: what to order next, and where each version stands. @internal */
export interface PlacementPlan {
  readonly unloads: readonly PlannedOrder[];
  /** Most urgent first. */
  readonly loads: readonly PlannedOrder[];
  readonly placements: ReadonlyMap<string, VersionPlacement>;
}

/** An engine while a plan is made: what it has, and what the plan adds and takes. */
interface PlannedEngine {
  readonly server: ReportedServer;
  readonly isBusy: boolean;
  readonly serving: Set<string>;
  readonly loading: Set<string>;
  room: number;
}

/**
 * Plans the next orders from the committed configuration and the announced state: loads for
 * missing replicas, unloads of withdrawn versions, and unloads that make room where a version is
 * under its need. No unload takes a version below its need, or takes its last serving replica.
 * Placing new replicas only, on the least filled engine of the data centre with the fewest, moves
 * nothing that is loaded.
 *
 * @internal
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  return new PlacementPlanner(input).plan();
}

class PlacementPlanner {
  private readonly engines: PlannedEngine[];
  private readonly needs: Map<string, ReplicaRequirement>;
  private readonly loads: PlannedOrder[] = [];
  private readonly unloads: PlannedOrder[] = [];

  constructor(private readonly input: PlacementInput) {
    this.engines = input.servers
      .filter(({alive, state}) => alive && state === 'ready')
      .sort((left, right) => (left.id < right.id ? -1 : 1))
      .map(server => this.describeEngine(server));
    this.needs = computeReplicaRequirements(
      input.configuration,
      input.getUtilization,
      key => this.countServing(key),
    );
  }

  plan(): PlacementPlan {
    const placements = new Map<string, VersionPlacement>();
    for (const [key, need] of this.needs) {
      placements.set(key, this.describePlacement(key, need));
    }
    this.planWithdrawals();
    const urgent = [...placements].sort(
      ([, left], [, right]) => measureCover(left) - measureCover(right),
    );
    for (const [key, {target: wanted}] of urgent)
      this.planLoads(key, wanted, true);
    for (const [key] of urgent) {
      this.planLoads(key, this.needs.get(key)?.desired ?? 0, false);
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
      room: server.versionSlots - loaded.length - (isLoading ? 1 : 0),
    };
  }

  private describePlacement(
    key: string,
    need: ReplicaRequirement,
  ): VersionPlacement {
    const {model, version} = need.version;
    const roomElsewhere = [...this.needs]
      .filter(([other]) => other !== key)
      .reduce(
        (
          sum,
          [
            other,
            {
              minimum: need,
              version: {replicas},
            },
          ],
        ) => {
          // Control loads no version without declared replicas, so it needs room only where it is.
          const isManaged = replicas > 0;
          return (
            sum + (isManaged ? need : Math.min(need, this.countServing(other)))
          );
        },
        0,
      );
    const room = this.engines.reduce(
      (sum, {server}) => sum + server.versionSlots,
      0,
    );
    const reachable = Math.min(this.engines.length, room - roomElsewhere);
    const wanted = Math.max(0, Math.min(need.declared, reachable));
    return {
      version: {model, version},
      declared: need.declared,
      target: wanted,
      minimum: need.minimum,
      serving: this.countServing(key),
      loading: this.countLoading(key),
      lacksCapacity: wanted < need.declared,
    };
  }

  private countServing(key: string): number {
    return this.engines.filter(({serving}) => serving.has(key)).length;
  }

  private countLoading(key: string): number {
    return this.engines.filter(({loading}) => loading.has(key)).length;
  }

  private planWithdrawals(): void {
    for (const [key, {version}] of this.needs) {
      if (version.state !== 'withdrawn') continue;
      for (const engine of this.engines) {
        // A load under way is called off at once: nothing runs on it yet.
        const isLoading = engine.loading.has(key);
        const isIdle = !engine.isBusy && engine.serving.has(key);
        const isDue = isLoading || (isIdle && this.input.mayUnload(key));
        if (isDue) this.planUnload(engine, version);
      }
    }
  }

  private planLoads(key: string, wanted: number, mayEvict: boolean): void {
    const {version, minimum: need} = this.needs.get(key) ?? {};
    if (!version) return;
    let have = this.countServing(key) + this.countLoading(key);
    while (have < wanted) {
      const engine = this.chooseEngine(key, ({room}) => room > 0);
      if (!engine) break;
      engine.loading.add(key);
      engine.room -= 1;
      this.loads.push({action: 'load', server: engine.server, version});
      have += 1;
    }
    const floor = Math.min(need ?? 0, wanted);
    // Unloads under way make room that is not to be made twice.
    have += this.engines.filter(
      ({isBusy, loading}) => isBusy && loading.size === 0,
    ).length;
    for (; mayEvict && have < floor; have += 1) {
      if (!this.planEviction(key)) return;
    }
  }

  /** Unloads a version with replicas to spare; the room is filled once that is announced. */
  private planEviction(key: string): boolean {
    const engine = this.chooseEngine(
      key,
      candidate => this.findSpare(candidate) !== undefined,
    );
    const spare = engine && this.findSpare(engine);
    if (!engine || !spare) return false;
    this.planUnload(engine, spare);
    return true;
  }

  private findSpare(engine: PlannedEngine): VersionRef | undefined {
    if (engine.room > 0) return undefined;
    return engine.server.versions.find(version => {
      const key = formatVersionKey(version);
      const need = this.needs.get(key);
      if (!engine.serving.has(key)) return false;
      return !need || this.countServing(key) > need.minimum;
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
    isFit: (engine: PlannedEngine) => boolean,
  ): PlannedEngine | undefined {
    const isTaken = ({serving, loading}: PlannedEngine) =>
      serving.has(key) || loading.has(key);
    const inCentre = new Map<string, number>();
    for (const engine of this.engines.filter(isTaken)) {
      const {dataCentre} = engine.server;
      inCentre.set(dataCentre, (inCentre.get(dataCentre) ?? 0) + 1);
    }
    const getRank = ({server, serving, loading}: PlannedEngine) =>
      (inCentre.get(server.dataCentre) ?? 0) * MAX_FILL +
      serving.size +
      loading.size;
    let best: PlannedEngine | undefined;
    for (const engine of this.engines) {
      const isPlanned = this.unloads.some(
        ({server}) => server.id === engine.server.id,
      );
      if (engine.isBusy || isPlanned || isTaken(engine)) continue;
      if (this.input.isBlocked(engine.server.id, key)) continue;
      if (!isFit(engine)) continue;
      if (!best || getRank(engine) < getRank(best)) best = engine;
    }
    return best;
  }
}

/** Share of the wanted replicas that a version has or is about to have. */
function measureCover({
  target: wanted,
  serving,
  loading,
}: VersionPlacement): number {
  return wanted === 0 ? Infinity : (serving + loading) / wanted;
}
