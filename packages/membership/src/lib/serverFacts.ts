/**
 * What entries tell each other about a backend server when it changes: facts, which change
 * rarely, apart from liveness and load, which travel as heartbeats.
 *
 * @public
 */
import {
  Announcement,
  SycamoreheadError,
  parseAnnouncement,
} from '@sycamorehead/schema';

/** One change of a server's facts, as it travels between entries. @public */
export interface FactDelta {
  /** The announcement that brought the facts; its sequence orders them. No load. */
  readonly announcement: Announcement;
  /** Whether a holder has found the server silent for good. */
  readonly gone: boolean;
  /** Time since some entry heard the server itself; absent where that is not known. */
  readonly ageMs?: number;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes a text to 32 bits; the same on every instance.
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
  // FNV's low bits alone are poor for names that differ in the last character only.
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Describes the facts of an announcement as a text that is equal where they are equal.
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
