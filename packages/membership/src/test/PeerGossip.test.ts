import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SycamoreheadError} from '@sycamorehead/schema';
import {FakeCluster, buildAnnouncement} from './FakeCluster.js';

async function runWith(
  count: number,
  run: (cluster: FakeCluster) => Promise<void>,
): Promise<void> {
  const cluster = new FakeCluster(count);
  try {
    await run(cluster);
  } finally {
    cluster.stop();
  }
}

/** Lists the ready servers of each entry. */
function listViews(cluster: FakeCluster): string[] {
  return [...cluster.entries.values()].map(entry =>
    entry.listReadyIds().join(),
  );
}

test('an announcement reaches all entries if its receiver crashes right after sending the batch', () =>
  runWith(4, async cluster => {
    await cluster.get('e1').gossip.receive(buildAnnouncement());
    await cluster.advance(60);
    cluster.stopEntry('e1');
    await cluster.advance(500);
    assert.deepEqual(listViews(cluster), ['engine-1', 'engine-1', 'engine-1']);
  }));

test('leaving is acknowledged once two peers confirmed it, and survives a crash of the receiver', () =>
  runWith(4, async cluster => {
    await cluster.get('e2').gossip.receive(buildAnnouncement());
    await cluster.advance(1_000);
    const leaving = buildAnnouncement({sequence: 2, state: 'leaving'});
    const answer = cluster.get('e1').gossip.receive(leaving);
    await cluster.settle();
    assert.equal((await answer).accepted, true);
    cluster.stopEntry('e1');
    await cluster.advance(1_000);
    assert.deepEqual(listViews(cluster), ['', '', '']);
  }));

test('leaving is not acknowledged by an entry that reaches too few peers', () =>
  runWith(4, async cluster => {
    cluster.splitLinks(['e1']);
    const leaving = buildAnnouncement({state: 'leaving'});
    const refused = assert.rejects(
      cluster.get('e1').gossip.receive(leaving),
      (error: SycamoreheadError) => error.kind === 'timeout',
    );
    await cluster.advance(1_100);
    await refused;
    cluster.restoreLinks();
    await cluster.settle();
    const again = buildAnnouncement({state: 'leaving', sequence: 2});
    const answer = cluster.get('e1').gossip.receive(again);
    await cluster.settle();
    assert.equal((await answer).accepted, true);
  }));

test('leaving is not replaced by an older ready message that arrives later on other entries', () =>
  runWith(3, async cluster => {
    const leaving = cluster
      .get('e1')
      .gossip.receive(buildAnnouncement({sequence: 7, state: 'leaving'}));
    await cluster.get('e2').gossip.receive(buildAnnouncement({sequence: 6}));
    await cluster.settle();
    await leaving;
    await cluster.get('e3').gossip.receive(buildAnnouncement({sequence: 5}));
    await cluster.advance(3_000);
    assert.deepEqual(listViews(cluster), ['', '', '']);
  }));

test('a server restarted with the same id and another address replaces the previous one', () =>
  runWith(3, async cluster => {
    const former = buildAnnouncement({sequence: 900});
    await cluster.get('e1').gossip.receive(former);
    await cluster.advance(100);
    const restarted = buildAnnouncement({
      generation: 2,
      address: 'http://127.0.0.1:2',
    });
    await cluster.get('e2').gossip.receive(restarted);
    const late = buildAnnouncement({sequence: 901});
    const answer = await cluster.get('e3').gossip.receive(late);
    assert.equal(answer.accepted, true, 'e3 does not know of the restart yet');
    await cluster.advance(3_000);
    for (const entry of cluster.entries.values()) {
      const [server] = entry.directory.listAll();
      assert.equal(server?.announcement.address, 'http://127.0.0.1:2');
    }
    const refused = await cluster.get('e1').gossip.receive(late);
    assert.deepEqual(refused, {accepted: false, generation: 2, sequence: 1});
  }));

test('entries on both sides of a partition agree on all servers after it heals', () =>
  runWith(6, async cluster => {
    const ids = ['a', 'b', 'c', 'd'];
    const announce = async (sequence: number, entries: readonly string[]) => {
      for (const [index, id] of ids.entries()) {
        const entry = cluster.get(entries[index % entries.length] ?? '');
        await entry.gossip.receive(
          buildAnnouncement({id, sequence, address: 'http://127.0.0.1:3'}),
        );
      }
    };
    await announce(1, ['e1']);
    await cluster.advance(1_000);
    cluster.splitLinks(['e1', 'e2', 'e3']);
    // a and c announce themselves on one side only, b and d on the other.
    for (let sequence = 2; sequence < 22; sequence++) {
      await announce(sequence, ['e1', 'e4', 'e2', 'e5']);
      await cluster.advance(1_000);
    }
    assert.equal(listViews(cluster)[0], 'a,c');
    assert.equal(listViews(cluster)[5], 'b,d');
    cluster.restoreLinks();
    for (let sequence = 22; sequence < 26; sequence++) {
      await announce(sequence, ['e1', 'e4', 'e2', 'e5']);
      await cluster.advance(1_000);
    }
    assert.deepEqual(new Set(listViews(cluster)), new Set(['a,b,c,d']));
  }));

test('200 servers joining at once reach every entry within a second', () =>
  runWith(8, async cluster => {
    for (let index = 0; index < 200; index++) {
      const entry = cluster.get(`e${(index % 8) + 1}`);
      await entry.gossip.receive(buildAnnouncement({id: `s${index}`}));
    }
    await cluster.advance(1_000);
    for (const {directory} of cluster.entries.values()) {
      assert.equal(directory.listAll().length, 200);
    }
  }));

test('a new entry receives all facts, and the liveness of its servers by heartbeats', () =>
  runWith(3, async cluster => {
    for (let sequence = 1; sequence <= 6; sequence++) {
      const entry = cluster.get(`e${(sequence % 3) + 1}`);
      await entry.gossip.receive(buildAnnouncement({sequence}));
      if (sequence === 3) cluster.addEntry('e4');
      await cluster.advance(1_000);
    }
    assert.deepEqual(cluster.get('e4').listReadyIds(), ['engine-1']);
  }));

test('a silent server gets no new work on any entry after 5 s and is later removed', () =>
  runWith(8, async cluster => {
    for (let sequence = 1; sequence <= 10; sequence++) {
      const entry = cluster.get(`e${(sequence % 8) + 1}`);
      await entry.gossip.receive(buildAnnouncement({sequence}));
      await cluster.advance(1_000);
      assert.equal(new Set(listViews(cluster)).size, 1, `second ${sequence}`);
    }
    await cluster.advance(4_000);
    assert.deepEqual(new Set(listViews(cluster)), new Set(['']));
    await cluster.advance(100_000);
    for (const {directory} of cluster.entries.values()) {
      assert.equal(directory.describe('engine-1'), undefined);
    }
  }));

test('a server wrongly declared departed is ready again with its next announcement', () =>
  runWith(3, async cluster => {
    await cluster.get('e1').gossip.receive(buildAnnouncement());
    await cluster.advance(15_000);
    assert.equal(cluster.get('e2').directory.listAll().length, 0);
    await cluster.get('e3').gossip.receive(buildAnnouncement({sequence: 9}));
    await cluster.advance(1_000);
    assert.deepEqual(new Set(listViews(cluster)), new Set(['engine-1']));
  }));

test('an open link that loses all messages is closed; leaving spreads through other entries', () =>
  runWith(3, async cluster => {
    await cluster.get('e1').gossip.receive(buildAnnouncement());
    await cluster.advance(1_500);
    cluster.dropMessages('e1', 'e2');
    const leaving = buildAnnouncement({sequence: 2, state: 'leaving'});
    const answer = cluster.get('e1').gossip.receive(leaving);
    const refused = assert.rejects(answer, /leaving/, 'one of two confirmed');
    await cluster.advance(1_100);
    await refused;
    assert.deepEqual(listViews(cluster), ['', '', '']);
    await cluster.advance(4_500);
    assert.equal(cluster.get('e1').listLinks().has('e2'), false);
    assert.equal(cluster.get('e1').listLinks().has('e3'), true);
  }));
