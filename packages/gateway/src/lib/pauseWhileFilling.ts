import type {WaitingWork} from '@sycamorehead/routing';
import type {DirectoryFill} from './DirectoryFill.js';
import type {PlacementRequest} from './Placement.js';

/** Time before the last useful moment of a request at which it is no longer held, in milliseconds. */
const HELD_MARGIN_MS = 200;

/**
 * Returns whether a request for an engine waits because servers that run may not have registered yet.
 *
 * @example
 * ```ts
 * isHeldWhileFilling(servers.filling, demand); // false: the directory is whole
 * ```
 * @internal
 */
export function isHeldWhileFilling(
  filling: DirectoryFill,
  {service, startBy}: PlacementRequest,
): boolean {
  if (!service.engine || !filling.isFilling) return false;
  const isDue = performance.now() + HELD_MARGIN_MS >= startBy;
  return !isDue && filling.isHeld(service.name);
}

/**
 * Lets work for an engine wait while the directory of servers fills, as long as its answer can be in time.
 *
 * @example
 * ```ts
 * const slot = await queue.acquire(pauseWhileFilling(filling, demand, work));
 * ```
 * @internal
 */
export function pauseWhileFilling<Slot>(
  filling: DirectoryFill,
  demand: PlacementRequest,
  work: WaitingWork<Slot>,
): WaitingWork<Slot> {
  const {service} = demand;
  if (!service.engine || !filling.isFilling) return work;
  filling.recordRequest(service.name);
  return {
    ...work,
    // Servers are known to come.
    reviewAt: work.abandonAt,
    tryReserveSlot: () => {
      if (isHeldWhileFilling(filling, demand)) return undefined;
      const slot = work.tryReserveSlot();
      if (slot !== undefined) filling.recordSend(service.name);
      return slot;
    },
  };
}
