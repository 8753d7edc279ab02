import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildKeptPrompt} from '@sycamorehead/routing';
import {ServerTable} from '../lib/ServerTable.js';
import {describeServer} from './FakeServer.js';

const SERVERS = 10;

/** Takes the news of as many reports as there are servers, and counts those of each server. */
function countTold(segmentsEach: number): number[] {
  const table = new ServerTable();
  const listings = Array.from({length: SERVERS}, (_, index) =>
    describeServer(`s${index}`, `10.0.0.${index + 1}:80`, {slots: 64}),
  );
  table.update({servers: listings});
  const told = new Map<string, number>();
  for (let report = 0; report < SERVERS; report += 1) {
    for (const {memory} of table.listReady('drafts')) {
      const segments = Array.from({length: segmentsEach + 1}, (_, index) => ({
        id: `${report} ${index}`,
        tokens: 10,
      }));
      memory.kept.recordPrompt(buildKeptPrompt('', segments), 10);
    }
    const news = Object.entries(table.takePromptNews());
    const count = news.reduce((sum, [, hashes]) => sum + hashes.length, 0);
    assert.ok(count <= 64, `${count}`);
    for (const [id, {length}] of news) {
      told.set(id, (told.get(id) ?? 0) + length);
    }
  }
  return [...told.values()];
}

// More than one report names of all; with 64, of each server as many as a report names.
for (const segmentsEach of [20, 64]) {
  test(`the news of each server go out in turn, ${segmentsEach} of each at a time`, () => {
    const counts = countTold(segmentsEach);
    assert.equal(counts.length, SERVERS);
    assert.ok(Math.min(...counts) >= segmentsEach, counts.join(' '));
  });
}
