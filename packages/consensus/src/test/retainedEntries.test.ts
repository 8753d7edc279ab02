import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SycamoreheadError} from '@sycamorehead/schema';
import type {LogEntry} from '../lib/logTypes.js';
import {RaftState} from '../lib/RaftState.js';
import {LogStorage} from '../lib/storage/LogStorage.js';
import {FakeDisk, RecordingMachine} from '../testing/index.js';
import {createLastCommandGroup, runPaused} from './runPaused.js';

const NAMES = ['c1', 'c2', 'c3'];
const DOCUMENT_BYTES = 50_000;
const DOCUMENT = 'x'.repeat(DOCUMENT_BYTES);
const SNAPSHOT_BYTES = 4 * DOCUMENT_BYTES;
const TRAILING_BYTES = 2 * DOCUMENT_BYTES;
/** What a leader holds before it refuses commands, and one more of them. */
const MAX_CAPACITY_BYTES = 18 * 1024 * 1024;
/** The entries that a snapshot covers, those since, and those that arrive while it is written. */
const MAX_RETAINED_BYTES = 2 * (TRAILING_BYTES + SNAPSHOT_BYTES);

async function measureDisk(disk: FakeDisk): Promise<number> {
  let bytes = 0;
  for (const name of await disk.list()) bytes += (await disk.read(name)).length;
  return bytes;
}

// Guards against control processes that run out of memory after some hundred large configurations.
test('memory and disk space of the log do not grow with the number of large commands', () =>
  runPaused(41, async (clock, random) => {
    const group = createLastCommandGroup(clock, random, {
      snapshotBytes: SNAPSHOT_BYTES,
      trailingBytes: TRAILING_BYTES,
    });
    await group.createGroup(NAMES);
    for (let count = 1; count <= 150; count++) {
      await group.propose(`${count} ${DOCUMENT}`);
    }
    await clock.advance(1_000);
    for (const name of NAMES) {
      const {node, disk, machine} = group.get(name);
      const retained = node!.getStatus().retainedBytes ?? Infinity;
      assert.ok(retained <= MAX_RETAINED_BYTES, `${name}: ${retained} bytes`);
      const stored = await measureDisk(disk);
      assert.ok(stored <= 2 * MAX_RETAINED_BYTES, `${name}: ${stored} on disk`);
      assert.equal(machine.last, `150 ${DOCUMENT}`);
    }
    for (const name of NAMES) group.abort(name);
    for (const name of NAMES) await group.start(name);
    const leader = await group.waitForLeader();
    assert.equal(leader.machine.last, `150 ${DOCUMENT}`);
    group.stop();
  }));

// Guards against a leader that runs out of memory because commands arrive faster than they are committed.
test('a leader whose commands are not committed refuses more of them than it can hold', () =>
  runPaused(44, async (clock, random) => {
    const group = createLastCommandGroup(clock, random, {
      snapshotBytes: SNAPSHOT_BYTES,
      trailingBytes: TRAILING_BYTES,
    });
    await group.createGroup(NAMES);
    const {node} = await group.waitForLeader();
    const large = 'x'.repeat(1024 * 1024);
    const outcomes = Array.from({length: 40}, () =>
      node!.propose(large).then(
        () => 'committed',
        (error: SycamoreheadError) => error.kind,
      ),
    );
    const retained = node!.getStatus().retainedBytes ?? Infinity;
    await clock.advance(60_000);
    const kinds = await Promise.all(outcomes);
    assert.deepEqual([...new Set(kinds)].sort(), ['committed', 'overloaded']);
    await clock.settle(node!.propose('last'));
    group.stop();
    assert.ok(retained <= MAX_CAPACITY_BYTES, `${retained} bytes`);
  }));

// Guards against a leader that stays full, since nothing was committed after the snapshot that it was writing.
test('a leader that became full while it wrote a snapshot accepts commands again', () =>
  runPaused(45, async (clock, random) => {
    const group = createLastCommandGroup(
      clock,
      random,
      {snapshotBytes: SNAPSHOT_BYTES, trailingBytes: TRAILING_BYTES},
      40,
    );
    await group.createGroup(NAMES);
    const {node} = await group.waitForLeader();
    const large = 'x'.repeat(1024 * 1024);
    await clock.settle(node!.propose(large));
    const outcomes = Array.from({length: 20}, () =>
      node!.propose(large).catch(() => {}),
    );
    await clock.settle(Promise.all(outcomes));
    await clock.advance(60_000);
    const last = node!.propose('last').then(
      () => 'committed',
      (error: SycamoreheadError) => error.kind,
    );
    assert.equal(await clock.settle(last), 'committed');
    const retained = node!.getStatus().retainedBytes ?? Infinity;
    group.stop();
    assert.ok(retained <= MAX_RETAINED_BYTES, `${retained} bytes`);
  }));

// Guards against a member that ends again whenever it loads the log of an earlier build.
test('entries that a snapshot covers are not loaded, although their files remain', async () => {
  const disk = new FakeDisk();
  const storage = new LogStorage(disk, 3 * DOCUMENT_BYTES);
  await storage.load();
  await storage.saveVote({group: 'g', term: 1, votedFor: ''});
  for (let index = 1; index <= 40; index++) {
    const entry = {index, term: 1, type: 'command', command: DOCUMENT};
    await storage.append([JSON.stringify(entry)], {index, term: 1});
  }
  const data = Buffer.from(JSON.stringify(DOCUMENT));
  await storage.saveSnapshot({index: 37, term: 1, members: [], data}, 0, false);
  const loaded = await new LogStorage(disk.abort(() => 0)).load();
  assert.deepEqual(
    loaded.entries.map(({index}) => index),
    [38, 39, 40],
  );
  assert.deepEqual(loaded.base, {index: 37, term: 1});
});

// Guards against a member that writes snapshots of its empty state for as long as nothing is committed.
test('a member whose log is large takes no snapshot before anything is committed', () =>
  runPaused(46, async clock => {
    const disk = new FakeDisk(1);
    const state = new RaftState({
      id: 'c1',
      machine: new RecordingMachine(),
      storage: new LogStorage(disk),
      snapshotBytes: 10,
      onFailure: () => {},
    });
    await clock.settle(state.load());
    await clock.settle(state.saveVote(1, 'c1', 'group'));
    const entry: LogEntry = {
      index: 1,
      term: 1,
      type: 'command',
      command: 'not committed yet',
    };
    const text = state.entries.append(entry);
    await clock.settle(state.storage.append([text], entry));
    let writes = 0;
    const replace = disk.replace.bind(disk);
    disk.replace = (name, bytes) => {
      writes += 1;
      return replace(name, bytes);
    };
    state.advanceCommit(0);
    await clock.advance(200);
    assert.equal(writes, 0);
  }));
