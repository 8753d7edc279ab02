import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {Announcement} from '@sycamorehead/schema';
import {decodeHeartbeat, encodeHeartbeat} from '../lib/heartbeats.js';
import {chooseSubset} from '../lib/chooseSubset.js';
import {InterestList} from '../lib/InterestList.js';
import {buildAnnouncement} from './FakeCluster.js';

const VERSIONS = 7;

function buildServers(count: number): Announcement[] {
  return Array.from({length: count}, (unused, index) =>
    buildAnnouncement({
      id: `engine-${index}`,
      versions: [{model: 'm', version: `v${index % VERSIONS}`}],
    }),
  );
}

test('each server is tracked by at least two entries; entries track all versions and similar numbers', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 12}),
      fc.integer({min: 1, max: 900}),
      (entryCount, serverCount) => {
        const entries = Array.from(
          {length: entryCount},
          (unused, index) => `e${index}`,
        );
        const servers = buildServers(serverCount);
        const copies = new Map<string, number>();
        const sizes: number[] = [];
        for (const name of entries) {
          const subset = chooseSubset(name, entries, servers);
          sizes.push(subset.size);
          for (const id of subset) copies.set(id, (copies.get(id) ?? 0) + 1);
          const versions = new Set(
            servers
              .filter(({id}) => subset.has(id))
              .map(({versions: [loaded]}) => loaded?.version),
          );
          assert.equal(versions.size, Math.min(VERSIONS, serverCount));
        }
        const fewest = Math.min(...servers.map(({id}) => copies.get(id) ?? 0));
        assert.ok(fewest >= Math.min(2, entryCount));
        assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 2 * VERSIONS);
      },
    ),
    {numRuns: 30},
  );
});

test('when an entry joins, another one still tracks most of its servers', () => {
  const servers = buildServers(1_000);
  const before = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const after = [...before, 'i'];
  const subset = chooseSubset('a', before, servers);
  const nextSubset = chooseSubset('a', after, servers);
  const retained = [...subset].filter(id => nextSubset.has(id)).length;
  assert.ok(
    retained >= subset.size * 0.6,
    `retained ${retained} of ${subset.size}`,
  );
});

test('a decoded heartbeat has the encoded positions and levels', () => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.integer({min: 0, max: 500})),
      fc.integer({min: 0, max: 15}),
      (positions, level) => {
        const servers = positions
          .sort((left, right) => left - right)
          .map((position, index) => ({position, level: (level + index) % 16}));
        assert.deepEqual(decodeHeartbeat(encodeHeartbeat(servers)), servers);
        const bare = decodeHeartbeat(encodeHeartbeat(servers, false));
        assert.deepEqual(
          bare.map(({position}) => position),
          positions,
        );
        assert.ok(bare.every(({level: unknown}) => unknown === 15));
      },
    ),
  );
});

test('a freed position is not reused while heartbeats may be in flight', () => {
  const list = new InterestList();
  list.update(new Set(['a', 'b']));
  const changes = list.update(new Set(['b', 'c']));
  assert.deepEqual(changes, [
    [0, null],
    [2, 'c'],
  ]);
});
