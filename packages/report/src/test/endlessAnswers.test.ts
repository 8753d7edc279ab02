import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EndlessServer} from '@sycamorehead/wire/testing';
import {collectSamples} from '../lib/collectSamples.js';

/** The time allowed for a page and some slack, in milliseconds. */
const MAX_MS = 6_000;
const MAX_READ_BYTES = 24 * 1024 * 1024;

for (const pace of ['fast', 'slow'] as const) {
  test(`an entry whose metrics have no end, ${pace}, is skipped in time`, async context => {
    const server = new EndlessServer({
      pace,
      opening: 'HTTP/1.1 200 OK\r\n\r\n',
      filler: 'sycamorehead_answers_total{kind="x"} 1\n',
    });
    context.after(() => server.stop());
    const address = await server.start();
    const startedAt = performance.now();
    assert.deepEqual(await collectSamples([`http://${address}`]), []);
    assert.ok(performance.now() - startedAt < MAX_MS);
    await server.waitUntilClosed();
    assert.ok(server.bytesRead <= MAX_READ_BYTES);
  });
}
