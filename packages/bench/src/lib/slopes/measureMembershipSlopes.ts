import type {Announcement} from '@sycamorehead/schema';
import {BackendServerDirectory} from '@sycamorehead/membership';
import {measureRetainedBytes, readProcessorMs} from './readUsage.js';
import {Slope, SlopePoint, computeSlope} from './slopeTypes.js';

const SERVER_COUNTS = [11, 100, 1_000, 4_000];
const ROUNDS = 10;

function buildAnnouncement(index: number, sequence: number): Announcement {
  return {
    id: `engine-${index}`,
    address: `http://10.0.${index >> 8}.${index & 255}:8000`,
    dataCentre: `dc-${index % 31}`,
    kind: 'engine',
    generation: 1,
    sequence,
    state: 'ready',
    versions: [{model: 'inscription-small', version: `v${index % 7}`}],
    slots: 32,
    fencing: 'checked',
    load: {running: 4, queued: 0, tokensPerSecond: 500, ageMs: 200},
  };
}

function fillDirectory(size: number): BackendServerDirectory {
  const directory = new BackendServerDirectory();
  for (let index = 0; index < size; index++) {
    directory.receive(buildAnnouncement(index, 1));
  }
  return directory;
}

/**
 * Measures the cost of a known backend server and of its announcements on an entry.
 *
 * @example
 * ```ts
 * const slopes = await measureMembershipSlopes();
 * ```
 * @internal
 */
export async function measureMembershipSlopes(): Promise<Slope[]> {
  const memory: SlopePoint[] = [];
  const processor: SlopePoint[] = [];
  for (const size of SERVER_COUNTS) {
    memory.push({
      size,
      value: await measureRetainedBytes(() => fillDirectory(size)),
    });
    const directory = fillDirectory(size);
    const startedAt = readProcessorMs();
    for (let round = 2; round < ROUNDS + 2; round++) {
      for (let index = 0; index < size; index++) {
        directory.receive(buildAnnouncement(index, round));
      }
    }
    const value = readProcessorMs() - startedAt;
    processor.push({size: size * ROUNDS, value});
  }
  return [
    computeSlope('membership.serverMemory', 'bytes a server', memory),
    computeSlope(
      'membership.announceProcessor',
      'ms an announcement',
      processor,
    ),
  ];
}
