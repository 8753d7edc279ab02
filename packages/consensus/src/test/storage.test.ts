import assert from 'node:assert/strict';
import {
  type FileHandle,
  mkdir,
  mkdtemp,
  open,
  readdir,
  readlink,
  realpath,
  rm,
  writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import type {LogEntry, Snapshot} from '../lib/logTypes.js';
import {FileDisk} from '../lib/storage/FileDisk.js';
import {LogStorage} from '../lib/storage/LogStorage.js';
import {loadMemberId} from '../lib/storage/loadMemberId.js';
import {FakeDisk} from '../testing/index.js';

const FIRST_LOG = 'log-000000000001';
const keepAll = () => 0.999_999;

function buildEntry(index: number, term = 1): LogEntry {
  return {index, term, type: 'command', command: `c${index}`};
}

async function append(
  storage: LogStorage,
  entries: readonly LogEntry[],
): Promise<void> {
  const texts = entries.map(entry => JSON.stringify(entry));
  await storage.append(texts, entries.at(-1)!);
}

async function fillDisk(count: number, segmentBytes?: number) {
  const disk = new FakeDisk();
  const storage = new LogStorage(disk, segmentBytes);
  await storage.load();
  await storage.saveVote({group: 'g', term: 1, votedFor: ''});
  for (let index = 1; index <= count; index++) {
    await append(storage, [buildEntry(index)]);
  }
  return {disk, storage};
}

async function readBack(disk: FakeDisk) {
  const found = disk.abort(keepAll);
  return {found, loaded: await new LogStorage(found).load()};
}

test('synced entries are loaded from many segments', async () => {
  const {disk} = await fillDisk(50, 300);
  const {loaded} = await readBack(disk);
  assert.ok((await disk.abort(keepAll).list()).length > 5);
  assert.equal(loaded.entries.length, 50);
  assert.deepEqual(loaded.vote, {group: 'g', term: 1, votedFor: ''});
});

test('a last record truncated at any byte is dropped, and the log continues', async () => {
  const {disk} = await fillDisk(3);
  const whole = await disk.read(FIRST_LOG);
  const two = await fillDisk(2);
  const start = (await two.disk.read(FIRST_LOG)).length;
  for (let length = start; length < whole.length; length++) {
    const torn = disk.abort(keepAll);
    torn.change(FIRST_LOG, data => data.subarray(0, length));
    const storage = new LogStorage(torn);
    assert.equal((await storage.load()).entries.length, 2);
    await append(storage, [buildEntry(3, 2)]);
    const {loaded} = await readBack(torn);
    assert.equal(loaded.entries.at(-1)?.term, 2);
  }
});

test('a last record whose sectors were not all written is dropped', async () => {
  const {disk} = await fillDisk(2);
  const start = (await disk.read(FIRST_LOG)).length;
  const storage = new LogStorage(disk);
  await storage.load();
  const large: LogEntry = {
    ...buildEntry(3),
    command: 'x'.repeat(2_000),
  } as LogEntry;
  await append(storage, [large]);
  const torn = disk.abort(keepAll);
  torn.change(FIRST_LOG, data => data.fill(0, start + 512, start + 1_536));
  assert.equal((await new LogStorage(torn).load()).entries.length, 2);
});

test('a flipped bit anywhere in synced data is fatal', async () => {
  const {disk} = await fillDisk(4);
  const {length} = await disk.read(FIRST_LOG);
  for (let offset = 0; offset < length; offset++) {
    const damaged = disk.abort(keepAll);
    damaged.change(FIRST_LOG, data => {
      data[offset]! ^= 1 << (offset % 8);
      return data;
    });
    await assert.rejects(
      new LogStorage(damaged).load(),
      {kind: 'storage_failed'},
      `byte ${offset}`,
    );
  }
});

test('a damaged vote or snapshot or a missing segment is fatal', async () => {
  const {disk, storage} = await fillDisk(30, 300);
  const data = Buffer.from('[]');
  const snapshot: Snapshot = {index: 10, term: 1, members: [], data};
  await storage.saveSnapshot(snapshot, 10, false);
  const names = await disk.list();
  const changeLastByte = (content: Buffer) => {
    content[content.length - 1]! ^= 1;
    return content;
  };
  for (const name of names.filter(text => /^(vote|snapshot)/.test(text))) {
    const damaged = disk.abort(keepAll);
    damaged.change(name, changeLastByte);
    await assert.rejects(new LogStorage(damaged).load(), {
      kind: 'storage_failed',
    });
  }
  const segments = names.filter(text => text.startsWith('log-'));
  for (const name of [segments[1], segments[3]]) {
    const damaged = disk.abort(keepAll);
    await damaged.remove(name!);
    await assert.rejects(new LogStorage(damaged).load(), {
      kind: 'storage_failed',
    });
  }
});

test('an entry with the index of an existing one replaces it and all later ones', async () => {
  const {disk, storage} = await fillDisk(5);
  await append(storage, [buildEntry(3, 2), buildEntry(4, 2)]);
  const {loaded} = await readBack(disk);
  assert.deepEqual(
    loaded.entries.map(({term}) => term),
    [1, 1, 2, 2],
  );
});

test('a snapshot removes covered segments; one that conflicts with the log replaces it', async () => {
  const {disk, storage} = await fillDisk(50, 300);
  const before = (await disk.list()).length;
  const base = {members: [], data: Buffer.from('[]')};
  await storage.saveSnapshot({index: 40, term: 1, ...base}, 40, false);
  assert.ok((await disk.list()).length < before / 2);
  const afterSnapshot = await readBack(disk);
  assert.equal(afterSnapshot.loaded.entries.at(-1)?.index, 50);
  assert.ok(afterSnapshot.loaded.base.index <= 40);
  const again = new LogStorage(afterSnapshot.found);
  await again.load();
  await again.saveSnapshot({index: 200, term: 4, ...base}, 200, true);
  await append(again, [buildEntry(201, 4)]);
  const {loaded} = await readBack(afterSnapshot.found);
  assert.deepEqual(loaded.base, {index: 200, term: 4});
  assert.deepEqual(
    loaded.entries.map(({index}) => index),
    [201],
  );
});

test('a segment whose first entries replace earlier ones is loaded after those have been removed', async () => {
  const {disk, storage} = await fillDisk(5);
  const base = {members: [], data: Buffer.from('[]')};
  await storage.saveSnapshot({index: 3, term: 1, ...base}, 0, false);
  const replacing = [4, 5, 6, 7, 8, 9, 10].map(index => buildEntry(index, 2));
  await append(storage, replacing);
  await storage.saveSnapshot({index: 9, term: 2, ...base}, 7, false);
  assert.ok(!(await disk.list()).includes(FIRST_LOG));
  const {loaded} = await readBack(disk);
  assert.equal(loaded.entries.at(-1)?.index, 10);
  assert.equal(loaded.entries.at(-1)?.term, 2);
});

test('a power failure between a received snapshot and the new segment loses nothing', async () => {
  const {disk, storage} = await fillDisk(5);
  const base = {members: [], data: Buffer.from('[]')};
  await storage.saveSnapshot({index: 9, term: 3, ...base}, 9, true);
  const found = disk.abort(keepAll);
  await found.remove('log-000000000002');
  const old = (await fillDisk(5)).disk.abort(keepAll);
  const segment = await found.create(FIRST_LOG);
  await segment.append(await old.read(FIRST_LOG));
  await segment.sync();
  const loaded = await new LogStorage(found).load();
  assert.deepEqual(loaded.base, {index: 9, term: 3});
  assert.equal(loaded.entries.length, 0);
});

test('what a killed process left unsynced survives a power failure once it has been loaded', async () => {
  const {disk, storage} = await fillDisk(2);
  disk.fault = 'sync_stalls';
  void append(storage, [buildEntry(3)]);
  await setImmediate();
  const killed = disk.abortProcess();
  const first = await new LogStorage(killed).load();
  assert.equal(first.entries.length, 3, 'the write has reached the file');
  const second = await new LogStorage(killed.abort(() => 0)).load();
  assert.equal(second.entries.length, 3);
});

test('a vote that a killed process left without a synced name survives a power failure once it has been loaded', async () => {
  const {disk, storage} = await fillDisk(1);
  disk.fault = 'folder_sync_stalls';
  void storage.saveVote({group: 'g', term: 7, votedFor: 'c2'});
  await setImmediate();
  const killed = disk.abortProcess();
  const first = await new LogStorage(killed).load();
  assert.equal(first.vote.term, 7, 'the vote has got its name');
  const second = await new LogStorage(killed.abort(() => 0)).load();
  assert.equal(second.vote.term, 7);
});

test('after a failed sync all writes are rejected', async () => {
  const {disk, storage} = await fillDisk(1);
  disk.fault = 'sync_fails';
  await assert.rejects(append(storage, [buildEntry(2)]), {
    kind: 'storage_failed',
  });
  disk.fault = 'none';
  await assert.rejects(append(storage, [buildEntry(2)]), {
    kind: 'storage_failed',
  });
  await assert.rejects(storage.saveVote({group: 'g', term: 2, votedFor: ''}), {
    kind: 'storage_failed',
  });
});

test('a disk keeps its identity and rejects other instances; a wiped one gets a new identity', async () => {
  const disk = new FakeDisk();
  const first = await loadMemberId(disk, 'c1');
  assert.equal(await loadMemberId(disk, 'c1'), first);
  await assert.rejects(loadMemberId(disk, 'c2'), {kind: 'storage_failed'});
  assert.notEqual(await loadMemberId(new FakeDisk(), 'c1'), first);
});

test('state without an identity is fatal, as it may lack entries that were acknowledged', async () => {
  const {disk} = await fillDisk(2);
  await assert.rejects(loadMemberId(disk, 'c1'), {kind: 'storage_failed'});
});

test('a folder whose creator was killed before it synced the parent is made durable', async () => {
  const parent = await mkdtemp(path.join(tmpdir(), 'sycamorehead-disk-'));
  const folder = path.join(parent, 'log');
  await mkdir(folder);
  const probe = await open(folder, 'r');
  const prototype = Object.getPrototypeOf(probe) as FileHandle;
  await probe.close();
  const {sync} = prototype;
  const synced: string[] = [];
  prototype.sync = async function (this: FileHandle) {
    synced.push(await readlink(`/proc/self/fd/${this.fd}`));
    return sync.call(this);
  };
  try {
    const storage = new LogStorage(new FileDisk(folder));
    await storage.load();
    await storage.close();
    assert.ok(synced.includes(await realpath(parent)), synced.join(' '));
  } finally {
    prototype.sync = sync;
    await rm(parent, {recursive: true, force: true});
  }
});

// What a replacement had written before the disk was full held the space that was missing, for good.
test('neither a replacement that fails nor a process that was killed in one leaves a file behind', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'sycamorehead-disk-'));
  try {
    const disk = new FileDisk(folder);
    // A file can't replace a folder.
    await mkdir(path.join(folder, 'vote'));
    await assert.rejects(disk.replace('vote', Buffer.from('x')));
    assert.deepEqual(await readdir(folder), ['vote']);
    await writeFile(path.join(folder, 'snapshot-1.tmp'), 'half');
    await new FileDisk(folder).list();
    assert.deepEqual(await readdir(folder), ['vote']);
  } finally {
    await rm(folder, {recursive: true, force: true});
  }
});

test('a folder of the file system persists log, vote, snapshot and identity', async () => {
  const parent = await mkdtemp(path.join(tmpdir(), 'sycamorehead-disk-'));
  const folder = path.join(parent, 'data', 'shard-0');
  try {
    const id = await loadMemberId(new FileDisk(folder), 'c1');
    const storage = new LogStorage(new FileDisk(folder), 200);
    await storage.load();
    await storage.saveVote({group: 'g', term: 1, votedFor: id});
    for (let index = 1; index <= 20; index++) {
      await append(storage, [buildEntry(index)]);
    }
    const data = Buffer.from('{"a":1}');
    const snapshot: Snapshot = {index: 15, term: 1, members: [], data};
    await storage.saveSnapshot(snapshot, 15, false);
    await storage.close();
    const again = new LogStorage(new FileDisk(folder), 200);
    const loaded = await again.load();
    assert.equal(loaded.entries.at(-1)?.index, 20);
    assert.deepEqual(loaded.snapshot, snapshot);
    assert.equal(loaded.vote.votedFor, id);
    assert.equal(await loadMemberId(new FileDisk(folder), 'c1'), id);
    await again.close();
  } finally {
    await rm(parent, {recursive: true, force: true});
  }
});
