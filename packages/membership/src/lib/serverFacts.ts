/**
 * Facts about backend servers, which entries send to each other when they change. Facts are the
 * attributes of a server that change rarely. Liveness and load are sent in heartbeats instead.
 *
 * @public
 */
import {
  Announcement,
  SycamoreheadError,
  parseAnnouncement,
} from '@sycamorehead/schema';

/** A change of a server's facts, as sent between entries. @public */
export interface FactDelta {
  /** The announcement with the facts, without load. Its sequence number orders the deltas. */
  readonly announcement: Announcement;
  /** Whether an entry that tracks the server has declared it departed. */
  readonly gone: boolean;
  /** Time since the server was last known to be alive, in milliseconds; absent if unknown. */
  readonly ageMs?: number;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes a text to 32 bits. The result is the same on every instance.
 *
 * @example
 * ```ts
 * digestText('engine-1') === digestText('engine-1'); // true
 * ```
 * @internal
 */
export function digestText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // The final mixing improves FNV's low bits for names that differ in the last character only.
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Describes the facts of an announcement as a text, which is equal for equal facts.
 *
 * @internal
 */
export function describeFacts(announcement: Announcement): string {
  const {address, dataCentre, kind, service, state, slots, fencing} =
    announcement;
  const {versionSlots} = announcement;
  const versions = announcement.versions
    .map(({model, version}) => `${model}/${version}`)
    .sort();
  return [
    address,
    dataCentre,
    kind,
    service,
    state,
    slots,
    fencing,
    versionSlots,
  ]
    .concat(versions)
    .join('|');
}

/**
 * Validates a delta received from a peer.
 *
 * @throws SycamoreheadError `malformed_request`.
 * @internal
 */
export function parseFactDelta(given: unknown): FactDelta {
  if (typeof given !== 'object' || given === null) {
    throw new SycamoreheadError('malformed_request', 'expected a fact delta');
  }
  const {announcement, gone, ageMs} = given as Record<string, unknown>;
  return {
    announcement: parseAnnouncement(announcement),
    gone: gone === true,
    ...(typeof ageMs === 'number' && ageMs >= 0 && {ageMs}),
  };
}
