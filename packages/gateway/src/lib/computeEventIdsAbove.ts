import type {RouteDeclaration} from '@sycamorehead/schema';

/** Below the id of every event. */
const NO_EVENT_ID = -1;

/**
 * Computes the id above which the events of a stream must be; undefined if the events of the route need
 * no ids. `lastEventId` is the id of the last event that the caller has.
 *
 * @example
 * ```ts
 * computeEventIdsAbove(route, '12'); // 12 if the streams of the route can be resumed
 * ```
 * @internal
 */
export function computeEventIdsAbove(
  {kind, isResumable}: RouteDeclaration,
  lastEventId: string | undefined,
): number | undefined {
  if (kind !== 'streaming') return undefined;
  // A server need not honour the last event id on a route whose streams cannot be resumed.
  if (!isResumable || lastEventId === undefined) return NO_EVENT_ID;
  const lastId = Number(lastEventId);
  return Number.isSafeInteger(lastId) ? lastId : NO_EVENT_ID;
}
