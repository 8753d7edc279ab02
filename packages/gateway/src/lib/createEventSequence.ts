import type {RouteDeclaration} from '@sycamorehead/schema';
import {EventSequence} from './EventSequence.js';
import type {HeaderNames} from './headerNames.js';
import {parseEventId} from './parseEventId.js';

/** Below the id of every event. */
const NO_EVENT_ID = -1;

/**
 * Creates the sequence that the events of a request's answers have to continue; undefined if the route does not
 * stream. `lastEventId` is the id of the last event that the caller names.
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
  const lastId = isResumable ? parseEventId(lastEventId) : undefined;
  return new EventSequence(lastId ?? NO_EVENT_ID, names.weightVersion);
}
