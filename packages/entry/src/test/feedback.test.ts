import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import type {
  EvidenceBatch,
  EvidenceItem,
  EvidenceReceipt,
} from '@sycamorehead/schema';
import {EvidenceReporter} from '../lib/feedback/EvidenceReporter.js';
import {RatingClient} from '../lib/feedback/RatingClient.js';

const RATING_REQUEST = {
  requestId: 'r',
  kind: 'proof',
  model: 'm',
  version: 'v1',
  answer: 'a',
};
const ITEM: EvidenceItem = {
  type: 'rating',
  version: 'm/v1',
  kind: 'proof',
  customer: 'c',
  revision: 1,
  step: 0,
  rating: 0.9,
};

/** Creates a fake control that can fail or change its pool between two batches. */
function createControl() {
  const control = {
    pool: 'p1',
    isDown: false,
    /** Whether batches are accepted but their receipts are lost. */
    losesReceipts: false,
    accepted: [] as string[],
    async reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt> {
      if (control.isDown) throw new Error('control is down');
      const isAddressed =
        batch.pool === undefined || batch.pool === control.pool;
      const name = `${control.pool}:${batch.sequence}`;
      if (isAddressed && !control.accepted.includes(name))
        control.accepted.push(name);
      if (control.losesReceipts) throw new Error('link lost');
      return {pool: control.pool, quality: []};
    },
  };
  return control;
}

test('evidence is retained while control is unreachable and resent with the same sequence number', async () => {
  const control = createControl();
  const reporter = new EvidenceReporter({
    entry: 'e',
    sink: control,
    onReceipt: () => {},
  });
  control.isDown = true;
  reporter.record(ITEM);
  await reporter.flush();
  assert.deepEqual(control.accepted, []);
  control.isDown = false;
  control.losesReceipts = true;
  await reporter.flush();
  control.losesReceipts = false;
  await reporter.flush();
  assert.deepEqual(control.accepted, ['p1:1']);
});

test('the retained evidence is sent again to a new pool, once', async () => {
  const control = createControl();
  const reporter = new EvidenceReporter({
    entry: 'e',
    sink: control,
    onReceipt: () => {},
  });
  for (let index = 0; index < 3; index++) {
    reporter.record(ITEM);
    await reporter.flush();
  }
  control.pool = 'p2';
  reporter.record(ITEM);
  await reporter.flush();
  await reporter.flush();
  const second = control.accepted.filter(name => name.startsWith('p2'));
  assert.deepEqual(second, ['p2:1', 'p2:2', 'p2:3', 'p2:4']);
});

test('a rating service that never responds delays no caller, and its queue stays bounded', async () => {
  const held = createServer(() => {});
  await new Promise<void>(resolve => held.listen(0, '127.0.0.1', resolve));
  const {port} = held.address() as AddressInfo;
  const client = new RatingClient({url: `http://127.0.0.1:${port}`});
  let ratings = 0;
  for (let index = 0; index < 2_000; index++) {
    client.enqueue(RATING_REQUEST, 'sampled', () => (ratings += 1));
  }
  assert.ok(client.countQueued() <= 512, `${client.countQueued()} queued`);
  assert.equal(ratings, 0);
  await client.stop();
  held.closeAllConnections();
  await new Promise(resolve => held.close(resolve));
});

test('a failing rating service becomes unhealthy, and out-of-range and missing ratings are ignored', async () => {
  const answers = [
    {status: 204, body: ''},
    {status: 200, body: '{"rating":1.5}'},
    {status: 200, body: '{"rating":"high"}'},
    {status: 503, body: '{}'},
    {status: 503, body: '{}'},
    {status: 503, body: '{}'},
  ];
  let asked = 0;
  const service = createServer((incoming, response) => {
    const {status, body} = answers[Math.min(asked, answers.length - 1)]!;
    asked += 1;
    response.writeHead(status).end(body);
  });
  await new Promise<void>(resolve => service.listen(0, '127.0.0.1', resolve));
  const {port} = service.address() as AddressInfo;
  const client = new RatingClient({url: `http://127.0.0.1:${port}`});
  const ratings: number[] = [];
  assert.equal(await client.query(RATING_REQUEST), undefined);
  while (client.isHealthy()) {
    const before = asked;
    client.enqueue(RATING_REQUEST, 'rollout', rating => ratings.push(rating));
    while (asked === before)
      await new Promise(resolve => setTimeout(resolve, 2));
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  assert.deepEqual(ratings, []);
  assert.equal(asked, answers.length);
  await client.stop();
  service.closeAllConnections();
  await new Promise(resolve => service.close(resolve));
});

test('evidence that is queued at a stop is sent first, unless control does not answer', async () => {
  const control = createControl();
  const reporter = new EvidenceReporter({
    entry: 'e',
    sink: control,
    onReceipt: () => {},
  });
  reporter.start();
  reporter.record(ITEM);
  await reporter.stop();
  // The first batch, sent at the start, is empty.
  assert.deepEqual(control.accepted, ['p1:1', 'p1:2']);
  const hung = new EvidenceReporter({
    entry: 'e',
    sink: {reportEvidence: () => new Promise(() => {})},
    onReceipt: () => {},
  });
  hung.start();
  hung.record(ITEM);
  const startedAt = performance.now();
  await hung.stop();
  assert.ok(performance.now() - startedAt < 2_000);
});
