/**
 * The encoding of heartbeats. A heartbeat contains one bit for each server of the peer's interest
 * list, set if the server announced itself recently, and four bits of load for each set bit.
 *
 * @internal
 */
import type {Announcement} from '@sycamorehead/schema';

/** Load level of servers that report no load. */
const UNKNOWN_LEVEL = 15;
/** Load level of a server with all slots busy; lower levels are the busy slots in eighths. */
const FULL_LEVEL = 8;
/** Queued requests for each level above FULL_LEVEL, as a fraction of the number of slots. */
const QUEUED_PER_LEVEL = 0.5;
const BITS = 8;
/** Maximum length of a decoded bitmap, in bytes. */
const MAX_BYTES = 2_500;

/** A server that a heartbeat reports as alive. @internal */
export interface AliveServer {
  /** Position in the receiver's interest list. */
  readonly position: number;
  readonly level: number;
}

/** An encoded heartbeat: a bitmap of positions and levels as nibbles, in base64. @internal */
export type EncodedHeartbeat = readonly [positions: string, levels: string];

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

/** Restores an approximate load report from its level. @internal */
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

/** Encodes the servers, which must be in the order of their positions. @internal */
export function encodeHeartbeat(
  servers: readonly AliveServer[],
  withLevels = true,
): EncodedHeartbeat {
  const last = servers.at(-1)?.position ?? -1;
  const bitmap = Buffer.alloc(Math.ceil((last + 1) / BITS));
  const levels = Buffer.alloc(Math.ceil(servers.length / 2));
  servers.forEach(({position, level}, index) => {
    const byte = Math.floor(position / BITS);
    bitmap[byte] = (bitmap[byte] ?? 0) | (1 << (position % BITS));
    const levelByte = Math.floor(index / 2);
    levels[levelByte] =
      (levels[levelByte] ?? 0) | (level << (index % 2 === 0 ? 0 : 4));
  });
  const encodedLevels = withLevels ? levels.toString('base64url') : '';
  return [bitmap.toString('base64url'), encodedLevels];
}

/** Decodes a heartbeat. Without levels, the load of the servers is unknown. @internal */
export function decodeHeartbeat([
  bitmap,
  levels,
]: EncodedHeartbeat): AliveServer[] {
  const bits = Buffer.from(String(bitmap), 'base64url').subarray(0, MAX_BYTES);
  const nibbles = Buffer.from(String(levels), 'base64url');
  const servers: AliveServer[] = [];
  for (let position = 0; position < bits.length * BITS; position++) {
    const isSet =
      ((bits[Math.floor(position / BITS)] ?? 0) >> (position % BITS)) & 1;
    if (!isSet) continue;
    const pair = nibbles[Math.floor(servers.length / 2)] ?? 0xff;
    const level = servers.length % 2 === 0 ? pair & 15 : pair >> 4;
    servers.push({position, level});
  }
  return servers;
}
