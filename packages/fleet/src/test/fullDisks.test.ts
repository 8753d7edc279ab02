import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DISK_WRITES, PausedClock} from '@sycamorehead/consensus/testing';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {FullDiskGroup} from './FullDiskGroup.js';

const SEED = Number(process.env.SYC_SEED ?? 1);
/** Time for a change, in milliseconds. */
const ACK_MS = 4_000;
/** Time for which one disk is full, in milliseconds. */
const FULL_MS = {min: 2_000, spread: 3_000} as const;
/** Bytes that hold the header of a segment, but not the first entry of a group as well. */
const SEGMENT_HEADER_BYTES = 100;
const RANGE = 0x7fffffff;

type Random = () => number;

async function runPaused(
  seed: number,
  body: (group: FullDiskGroup, random: Random) => Promise<void>,
): Promise<void> {
  const generator = xoroshiro128plus(seed);
  const sample = () =>
    unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
  const clock = new PausedClock();
  const group = new FullDiskGroup(clock, sample);
  try {
    await body(group, sample);
  } finally {
    group.stop();
    clock.restore();
  }
}

async function changeInTime(
  group: FullDiskGroup,
  context: string,
  bytes?: number,
): Promise<void> {
  const {ms, version, refusals} = await group.change(ACK_MS, bytes);
  const told = `${context}: change ${version}: ${refusals.join('; ')}`;
  assert.ok(ms !== undefined, told + group.describe());
}

function assertOneWriter(group: FullDiskGroup): void {
  for (const {name, disk} of group.instances) {
    const told = `${name} had ${disk.maxOpenFiles} files open for appending`;
    assert.equal(disk.maxOpenFiles, 1, told);
  }
}

// A failure before the member was in use opened the folder twice, and each of the two twice again.
test('a disk that is full at the first start has one writer', async () => {
  for (const refused of [['append'], ['replace'], DISK_WRITES] as const) {
    await runPaused(SEED, async group => {
      const {disk} = group.get('c2');
      disk.refused = refused;
      disk.fault = 'full';
      group.startMembers();
      await group.clock.advance(FULL_MS.min + FULL_MS.spread);
      disk.fault = 'none';
      await group.waitUntilWhole();
      await changeInTime(group, `${refused.join()} refused at the start`);
      assertOneWriter(group);
    });
  }
});

// Members that had stored their group, but not its first entry, had no members to elect a leader of.
test('disks that were full between the group and its first entry delay the group, but do not prevent it', () =>
  runPaused(SEED, async group => {
    const seeds = ['c1', 'c2', 'c3'].map(name => group.get(name));
    for (const {disk} of seeds) {
      disk.refused = ['append'];
      disk.freeBytes = SEGMENT_HEADER_BYTES;
      disk.fault = 'full';
    }
    group.startMembers();
    await group.clock.advance(FULL_MS.min);
    for (const {disk} of seeds) disk.fault = 'none';
    await group.waitUntilWhole();
    await changeInTime(group, 'the first entries are stored');
    assertOneWriter(group);
  }));
