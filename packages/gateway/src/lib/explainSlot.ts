import {
  ExplainedPlacement,
  PlacementQueue,
  QuestionedWork,
  explainPlacement,
} from '@sycamorehead/routing';
import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import type {ServerObstacle} from '@sycamorehead/fleet';
import type {DirectoryFill} from './DirectoryFill.js';
import type {KnownServer} from './KnownServer.js';
import type {PlacementRequest} from './Placement.js';
import {PlacementRefusals, isHoldable} from './PlacementRefusals.js';
import type {ServerAvailability} from './ServerAvailability.js';
import type {
  ExplainedChoice,
  ServerChoice,
  ServerChooser,
} from './ServerChooser.js';
import type {SlowStart} from './SlowStart.js';

/** What decides on the slot of a request. @internal */
export interface SlotDecisions {
  readonly availability: ServerAvailability;
  readonly chooser: ServerChooser;
  readonly slowStart: SlowStart;
  readonly refusals: PlacementRefusals;
  readonly filling: DirectoryFill;
}

/** What would become of a request, and why. @internal */
export interface ExplainedSlot {
  readonly placement: ExplainedPlacement<ServerChoice>;
  /** Until when it may wait, on the monotonic clock; undefined if it is refused before that is known. */
  readonly abandonAt: number | undefined;
  /** What rules out servers of the service, whatever the turn of the request. */
  readonly obstacles: ReadonlyMap<KnownServer, ServerObstacle>;
  /** The other servers, and how one of them is chosen. */
  readonly choice: ExplainedChoice;
  /** Whether the server is known: chance has no part in it. */
  readonly isCertain: boolean;
}

/**
 * Explains where a request would go now: it asks the code that decides on each request for all that it
 * knows, without reserving anything.
 *
 * @example
 * ```ts
 * (await explainSlot(demand, queue, decisions, work)).placement.type; // 'placed'
 * ```
 * @internal
 */
export async function explainSlot(
  demand: PlacementRequest,
  queue: PlacementQueue,
  {availability, chooser, slowStart, refusals, filling}: SlotDecisions,
  work: QuestionedWork<unknown>,
): Promise<ExplainedSlot> {
  const {servers: available, isDrawn, obstacles} = availability.explain(demand);
  const earned = slowStart.filterServers(available);
  const usable = availability.filterChecks(earned);
  markExcluded(obstacles, 'slow_start', available, earned);
  markExcluded(obstacles, 'limit_check', earned, usable);
  const choice = chooser.explain(demand, usable);
  const [best, second] = choice.choices;
  const mayBeHeld = isHoldable(demand) && filling.isFilling;
  const isCertain =
    !mayBeHeld &&
    best !== undefined &&
    second?.score !== best.score &&
    !(isDrawn && usable.length > 1) &&
    (choice.drawn >= usable.length || choice.alwaysCompared.has(best.server));
  const explained = {obstacles, choice, isCertain};
  const {service, startBy} = demand;
  const isHeld =
    mayBeHeld && filling.isHolding({service: service.name, startBy});
  let abandonAt: number;
  try {
    refusals.checkDemand(demand);
    abandonAt = isHeld ? demand.abandonAt : refusals.limitWait(demand, queue);
  } catch (error) {
    const placement = buildRefused(toSycamoreheadError(error));
    return {...explained, placement, abandonAt: undefined};
  }
  const placement = await explainPlacement<ServerChoice>(queue, {
    ...work,
    abandonAt,
    tryReserveSlot: () => {
      refusals.checkEvacuation(demand);
      if (isHeld) return undefined;
      if (best && availability.hasFreeSlot(demand.service)) return best;
      const closure = refusals.findClosure(demand);
      if (closure) throw closure;
      return undefined;
    },
  });
  return {...explained, placement, abandonAt};
}

/** Marks the servers that a filter has left out. */
function markExcluded(
  obstacles: Map<KnownServer, ServerObstacle>,
  obstacle: ServerObstacle,
  servers: readonly KnownServer[],
  kept: readonly KnownServer[],
): void {
  const included = new Set(kept);
  for (const server of servers) {
    if (!included.has(server)) obstacles.set(server, obstacle);
  }
}

function buildRefused(
  error: SycamoreheadError,
): ExplainedPlacement<ServerChoice> {
  return {type: 'refused', error};
}
