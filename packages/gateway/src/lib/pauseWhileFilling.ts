import type {WaitingWork} from '@sycamorehead/routing';
import type {DirectoryFill} from './DirectoryFill.js';
import type {PlacementRequest} from './Placement.js';

/** Time before the last useful moment of a request at which it is no longer held, in milliseconds. */
const HELD_MARGIN_MS = 200;

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
  {service, startBy}: PlacementRequest,
  work: WaitingWork<Slot>,
): WaitingWork<Slot> {
  if (!service.engine || !filling.isFilling) return work;
  filling.recordRequest(service.name);
  return {
    ...work,
    // Servers are known to come.
    reviewAt: work.abandonAt,
    tryReserveSlot: () => {
      const isDue = performance.now() + HELD_MARGIN_MS >= startBy;
      if (!isDue && filling.isHeld(service.name)) return undefined;
      const slot = work.tryReserveSlot();
      if (slot !== undefined) filling.recordSend(service.name);
      return slot;
    },
  };
}
