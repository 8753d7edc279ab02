import type {SycamoreheadError} from '@sycamorehead/schema';
import {countNeededTokens} from '@sycamorehead/routing';
import type {PlacementRequest} from './Placement.js';
import {buildEvacuationRefusal, buildRefusal} from './refusals.js';
import type {ServerAvailability} from './ServerAvailability.js';
import type {ServerTable} from './ServerTable.js';

/** Maximum retry delay when every server limits its requests, in milliseconds. */
const MAX_LIMIT_RETRY_MS = 5_000;
const MS_PER_SECOND = 1_000;
/**
 * Part of its wait for which a request waits if every server limits its requests: permits come at a
 * known pace.
 */
const LIMITED_WAIT_FRACTION = 0.4;

/** What is asked of the queue of a service. @internal */
export interface WaitingCount {
  /** Counts the waiting requests that are at least as urgent as one of that priority. */
  countAhead(priority: number): number;
}

/**
 * Finds the requests that are refused without a look at the load of the servers: none may run them now,
 * or in time. It changes nothing.
 *
 * @internal
 */
export class PlacementRefusals {
  constructor(
    private readonly servers: ServerTable,
    private readonly availability: ServerAvailability,
  ) {}

  /**
   * Checks a request before it is held or takes its turn.
   *
   * @throws SycamoreheadError `data_centre_evacuated`, `overloaded`.
   */
  checkDemand(demand: PlacementRequest): void {
    this.checkEvacuation(demand);
    checkSize(demand);
  }

  /**
   * Checks the limits of the servers when a request takes its turn, and returns until when it may wait.
   *
   * @throws SycamoreheadError `overloaded`.
   */
  limitWait(demand: PlacementRequest, queue: WaitingCount): number {
    if (!this.isLimited(demand.service.name)) return demand.abandonAt;
    const now = performance.now();
    const abandonAt = now + (demand.abandonAt - now) * LIMITED_WAIT_FRACTION;
    this.checkLimits({...demand, abandonAt}, queue.countAhead(demand.priority));
    return abandonAt;
  }

  /**
   * Checks that not only servers of evacuated data centres may run a request.
   *
   * @throws SycamoreheadError `data_centre_evacuated`.
   */
  checkEvacuation(demand: PlacementRequest): void {
    const refusal = this.findEvacuation(demand);
    if (refusal) throw refusal;
  }

  /** Returns the refusal of a request that only servers of evacuated data centres may run. */
  findEvacuation(demand: PlacementRequest): SycamoreheadError | undefined {
    const evacuated = this.availability.listEvacuated(demand);
    return evacuated.length > 0 ? buildEvacuationRefusal(evacuated) : undefined;
  }

  /**
   * Returns the refusal of a request that no server may run now: those that might are in evacuated data
   * centres, leave or want no requests yet. While no server or no evacuation is known at all, the first
   * update may be on its way.
   */
  findClosure(demand: PlacementRequest): SycamoreheadError | undefined {
    const {servers} = this;
    if (!servers.evacuation.isKnown) return undefined;
    const evacuation = this.findEvacuation(demand);
    if (evacuation) return evacuation;
    const {name} = demand.service;
    const ready = servers.listReady(name);
    if (ready.length === 0) {
      if (servers.listKnown(name).length === 0) return undefined;
      return buildRefusal('every server leaves', false);
    }
    const holdMs = Math.min(
      ...ready.map(({listing}) =>
        servers.notices.getHoldMs(listing.registration),
      ),
    );
    if (holdMs <= 0) return undefined;
    return buildRefusal('every server wants a pause', false, holdMs);
  }

  /** Returns whether there are servers of a service that may take requests, and all limit them. */
  private isLimited(service: string): boolean {
    const {servers} = this;
    const ready = servers.listReady(service);
    return (
      ready.length > 0 &&
      ready.every(
        ({listing: {registration}}) =>
          servers.limits.getPerSecond(registration) !== undefined,
      )
    );
  }

  /**
   * Refuses a request at once if every server of its service limits its requests, and those that wait
   * already use up what this entry may send in the time that the request may wait.
   */
  private checkLimits(
    {service, abandonAt}: PlacementRequest,
    waiting: number,
  ): void {
    const {servers} = this;
    const {limits} = servers;
    const ready = servers.listReady(service.name);
    let ownRate = 0;
    for (const {listing} of ready) {
      const perSecond = limits.getPerSecond(listing.registration);
      if (perSecond === undefined) return;
      ownRate += limits.computeOwnRate(perSecond);
    }
    if (ready.length === 0) return;
    const waitMs = (waiting * MS_PER_SECOND) / ownRate;
    if (performance.now() + waitMs <= abandonAt) return;
    throw buildRefusal(
      'every server limits its requests',
      false,
      Math.min(MAX_LIMIT_RETRY_MS, waitMs),
    );
  }
}

/**
 * Returns whether a request is larger than the memory of every server.
 *
 * @example
 * ```ts
 * isTooLarge(demand); // false
 * ```
 * @internal
 */
export function isTooLarge({request, service}: PlacementRequest): boolean {
  const capacity = service.engine?.tokenCapacity ?? 0;
  return capacity > 0 && countNeededTokens(request.size) > capacity;
}

/**
 * Returns whether a request may be held while the directory of servers fills: not one of an answer that has
 * begun, nor one that was sent before.
 *
 * @example
 * ```ts
 * isHoldable(demand); // true
 * ```
 * @internal
 */
export function isHoldable({
  service,
  objectiveAt,
  tried,
}: PlacementRequest): boolean {
  return (
    service.engine !== undefined &&
    objectiveAt !== undefined &&
    tried.size === 0
  );
}

/** Refuses a request at once that is larger than the memory of every server. */
function checkSize(demand: PlacementRequest): void {
  if (!isTooLarge(demand)) return;
  throw buildRefusal(
    'the request is larger than the memory of every server',
    false,
    MAX_LIMIT_RETRY_MS,
  );
}
