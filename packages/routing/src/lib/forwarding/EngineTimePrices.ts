import {evictOldest, getOrCreate} from '@sycamorehead/schema';
import {DecayingSum} from './DecayingSum.js';
import {computeLoadFraction, computePressure} from './enginePressure.js';

/** Time in which what was recorded loses two thirds of its weight, in milliseconds. */
const DECAY_MS = 30_000;
/** Maximum number of services that are tracked. */
const MAX_SERVICES = 200;
/** Maximum number of routes that are tracked for each service. */
const MAX_ROUTES = 200;

/** What a request on a route asks for. @public */
export interface RouteRequest {
  readonly route: string;
  /** What a good answer to it is worth. */
  readonly value: number;
  readonly targetLatencyMs: number;
}

interface RouteDemand {
  readonly value: DecayingSum;
  targetLatencyMs: number;
}

interface ServiceUse {
  readonly routes: Map<string, RouteDemand>;
  readonly engineMs: DecayingSum;
}

/**
 * Learns what the time of a service's engines is worth: what the answers to its requests are worth, for
 * the time that their sends take. While engines are loaded, a send delays the requests of all routes, and
 * those with a short target latency are the first to miss it.
 *
 * @public
 */
export class EngineTimePrices {
  private readonly uses = new Map<string, ServiceUse>();

  // Commands.

  /** Records a request that has arrived for a service. */
  recordRequest(service: string, request: RouteRequest): void {
    const {routes} = this.getUse(service);
    const {route, value, targetLatencyMs} = request;
    const demand = routes.get(route) ?? {
      value: new DecayingSum(DECAY_MS),
      targetLatencyMs,
    };
    demand.value.add(value);
    demand.targetLatencyMs = targetLatencyMs;
    routes.delete(route);
    routes.set(route, demand);
    evictOldest(routes, MAX_ROUTES);
  }

  /** Records the time that a send takes of an engine of a service. */
  recordSend(service: string, engineMs: number): void {
    this.getUse(service).engineMs.add(engineMs);
  }

  // Queries.

  /**
   * Estimates what a millisecond of an engine's time costs the other requests of a service, from the
   * average work that is pending on its engines.
   *
   * @example
   * ```ts
   * prices.estimatePrice('drafts', 0); // 0: nobody is delayed
   * ```
   */
  estimatePrice(service: string, pendingMs: number): number {
    const use = this.uses.get(service);
    const engineMs = use?.engineMs.value ?? 0;
    if (!use || engineMs <= 0) return 0;
    let delayedValue = 0;
    for (const {value, targetLatencyMs} of use.routes.values()) {
      const pressure = computePressure(pendingMs, targetLatencyMs);
      delayedValue += value.value * computeLoadFraction(pressure);
    }
    return delayedValue / engineMs;
  }

  private getUse(service: string): ServiceUse {
    return getOrCreate(this.uses, service, MAX_SERVICES, () => ({
      routes: new Map<string, RouteDemand>(),
      engineMs: new DecayingSum(DECAY_MS),
    }));
  }
}
