import type {RouteDeclaration} from '@sycamorehead/schema';
import {EventSequence} from './EventSequence.js';
import type {HeaderNames} from './headerNames.js';

/** Below the id of every event. */
const NO_EVENT_ID = -1;

/**
 * Creates the sequence that the events of an answer have to continue; undefined if the route does not
 * stream. `lastEventId` is the id of the last event that the caller has.
 *
 * @example
 * ```ts
 * createEventSequence(route, names, '12'); // expects ids above 12 if streams can be resumed
 * ```
 * @internal
 */
export function createEventSequence(
  {kind, isResumable}: RouteDeclaration,
  names: HeaderNames,
  lastEventId: string | undefined,
): EventSequence | undefined {
  if (kind !== 'streaming') return undefined;
  // A server need not honour the last event id on a route whose streams cannot be resumed.
  const lastId = isResumable ? parseId(lastEventId) : NO_EVENT_ID;
  return new EventSequence(lastId, names.weightVersion);
}

function parseId(lastEventId: string | undefined): number {
  const lastId = Number(lastEventId ?? NO_EVENT_ID);
  return Number.isSafeInteger(lastId) ? lastId : NO_EVENT_ID;
}
