/**
 * Heartbeats: which of a peer's interests an entry has heard lately, one bit for each, and the
 * occupancy of those heard, four bits for each.
 *
 * @internal
 */
import type {Announcement} from '@sycamorehead/schema';

/** Level for servers that report no load. */
const UNKNOWN_LEVEL = 15;
/** Levels up to here count eighths of the slots as running. */
const FULL_LEVEL = 8;
/** Each level above counts this share of the slots as queued. */
const QUEUED_PER_LEVEL = 0.5;
const BITS = 8;
/** Longest bit map that is read, in bytes. */
const MAX_BYTES = 2_500;

/** One server as a heartbeat tells of it. @internal */
export interface AliveServer {
  /** Its place in the receiver's list of interests. */
  readonly position: number;
  readonly level: number;
}

/** A heartbeat as it travels: places as a bit map and levels as nibbles, both in base64. @internal */
export type EncodedHeartbeat = readonly [places: string, levels: string];

/** Rounds a load report to one of 16 levels. @internal */
export function encodeLoadLevel({load, slots}: Announcement): number {
  if (!load) return UNKNOWN_LEVEL;
  if (load.queued === 0) {
    const eighths = Math.round((load.running / slots) * FULL_LEVEL);
    return Math.min(eighths, FULL_LEVEL);
  }
  const steps = Math.ceil(load.queued / slots / QUEUED_PER_LEVEL);
  return Math.min(FULL_LEVEL + steps, UNKNOWN_LEVEL - 1);
}

/** Rebuilds a load report from its level. @internal */
export function decodeLoadLevel(
  level: number,
  slots: number,
  ageMs: number,
): Announcement['load'] {
  if (level >= UNKNOWN_LEVEL) return undefined;
  const queued = Math.max(0, level - FULL_LEVEL) * QUEUED_PER_LEVEL * slots;
  return {
    running: Math.round((Math.min(level, FULL_LEVEL) / FULL_LEVEL) * slots),
    queued: Math.round(queued),
    tokensPerSecond: 0,
    ageMs,
  };
}

/** Encodes the heard servers, given in the order of their places. @internal */
export function encodeHeartbeat(
  heard: readonly AliveServer[],
  withLevels = true,
): EncodedHeartbeat {
  const last = heard.at(-1)?.position ?? -1;
  const places = Buffer.alloc(Math.ceil((last + 1) / BITS));
  const levels = Buffer.alloc(Math.ceil(heard.length / 2));
  heard.forEach(({position: place, level}, index) => {
    const byte = Math.floor(place / BITS);
    places[byte] = (places[byte] ?? 0) | (1 << (place % BITS));
    const half = Math.floor(index / 2);
    levels[half] = (levels[half] ?? 0) | (level << (index % 2 === 0 ? 0 : 4));
  });
  const encodedLevels = withLevels ? levels.toString('base64url') : '';
  return [places.toString('base64url'), encodedLevels];
}

/** Decodes a heartbeat; without levels, they are unknown. @internal */
export function decodeHeartbeat([
  places,
  levels,
]: EncodedHeartbeat): AliveServer[] {
  const bits = Buffer.from(String(places), 'base64url').subarray(0, MAX_BYTES);
  const nibbles = Buffer.from(String(levels), 'base64url');
  const heard: AliveServer[] = [];
  for (let place = 0; place < bits.length * BITS; place++) {
    const isHeard =
      ((bits[Math.floor(place / BITS)] ?? 0) >> (place % BITS)) & 1;
    if (!isHeard) continue;
    const pair = nibbles[Math.floor(heard.length / 2)] ?? 0xff;
    const level = heard.length % 2 === 0 ? pair & 15 : pair >> 4;
    heard.push({position: place, level});
  }
  return heard;
}
