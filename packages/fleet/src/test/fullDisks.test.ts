import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  DISK_WRITES,
  DiskWrite,
  PausedClock,
} from '@sycamorehead/consensus/testing';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {DiskInstance, FullDiskGroup} from './FullDiskGroup.js';

/** Number of random days. To run more: `SYC_SEEDS=200 SYC_SEED=7 npm test fullDisks`. */
const RUNS = Number(process.env.SYC_SEEDS ?? 4);
const SEED = Number(process.env.SYC_SEED ?? 1);
/** Time for a change, in milliseconds. */
const ACK_MS = 4_000;
/** Time for which one disk is full, in milliseconds. */
const FULL_MS = {min: 2_000, spread: 3_000} as const;
/** Bytes of a change; a large one makes snapshots due. */
const BYTES = {small: 500, large: 150_000} as const;
/** Largest number of bytes that a disk still takes; a vote fits into the smallest part of them. */
const FREE_BYTES = 3_000;
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

/** Sends changes while the disk of an instance refuses writes. */
async function fillDisk(
  group: FullDiskGroup,
  random: Random,
  {name, disk, elections}: DiskInstance,
  refused: readonly DiskWrite[],
): Promise<void> {
  disk.refused = refused;
  disk.freeBytes = random() < 0.5 ? 0 : Math.floor(random() * FREE_BYTES);
  disk.fault = 'full';
  const before = elections.count;
  const endAt = performance.now() + FULL_MS.min + random() * FULL_MS.spread;
  while (performance.now() < endAt) {
    const isSmall = random() < 0.5;
    const bytes = isSmall ? BYTES.small : Math.ceil(random() * BYTES.large);
    await changeInTime(group, `${name} refuses ${refused.join()}`, bytes);
    await group.clock.advance(100);
  }
  disk.fault = 'none';
  const elected = elections.count - before;
  assert.ok(elected <= 1, `${name} was elected ${elected} times while full`);
}

function sampleOrder<Item>(items: readonly Item[], random: Random): Item[] {
  return items
    .map(item => ({item, key: random()}))
    .sort((left, right) => left.key - right.key)
    .map(({item}) => item);
}

/** Fills one disk after another, and checks that nothing remains of it. */
async function runDay(
  group: FullDiskGroup,
  random: Random,
  pickRefused: () => readonly DiskWrite[],
): Promise<void> {
  await group.start();
  const ids = group.listIds();
  for (const instance of sampleOrder(group.instances, random)) {
    await fillDisk(group, random, instance, pickRefused());
    if (random() < 0.5) await group.clock.advance(500 * random());
  }
  await changeInTime(group, 'all disks have room again');
  await group.waitUntilWhole();
  assert.deepEqual(group.listIds(), ids, 'a disk that was full was erased');
  await changeInTime(group, 'the group is whole');
  assertOneWriter(group);
}

function assertOneWriter(group: FullDiskGroup): void {
  for (const {name, disk} of group.instances) {
    const told = `${name} had ${disk.maxOpenFiles} files open for appending`;
    assert.equal(disk.maxOpenFiles, 1, told);
  }
}

// A member whose disk took votes, but no new segment, was elected again each time it was opened.
for (const refused of [...DISK_WRITES.map(write => [write]), DISK_WRITES]) {
  test(`disks refuse ${refused.join(', ')} one after another: changes are acknowledged in time, all members remain`, () =>
    runPaused(SEED, (group, random) => runDay(group, random, () => refused)));
}

test(`disks refuse some writes one after another: ${RUNS} days from seed ${SEED}`, async () => {
  for (let seed = SEED; seed < SEED + RUNS; seed++) {
    await runPaused(seed, (group, random) =>
      runDay(group, random, () => DISK_WRITES.filter(() => random() < 0.5)),
    );
  }
});

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
