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

const QUESTION = {
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

/** A control that can fail or change its pool between two batches. */
function createControl() {
  const control = {
    pool: 'p1',
    isDown: false,
    /** Takes the batch, but its receipt is lost. */
    losesReceipts: false,
    taken: [] as string[],
    async reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt> {
      if (control.isDown) throw new Error('control is down');
      const isMeant = batch.pool === undefined || batch.pool === control.pool;
      const name = `${control.pool}:${batch.sequence}`;
      if (isMeant && !control.taken.includes(name)) control.taken.push(name);
      if (control.losesReceipts) throw new Error('link lost');
      return {pool: control.pool, quality: []};
    },
  };
  return control;
}

test('evidence waits while control is gone and is named the same when it is sent again', async () => {
  const control = createControl();
  const reporter = new EvidenceReporter({
    entry: 'e',
    sink: control,
    onReceipt: () => {},
  });
  control.isDown = true;
  reporter.record(ITEM);
  await reporter.flush();
  assert.deepEqual(control.taken, []);
  control.isDown = false;
  control.losesReceipts = true;
  await reporter.flush();
  control.losesReceipts = false;
  await reporter.flush();
  assert.deepEqual(control.taken, ['p1:1']);
});

test('a new pool gets the retained evidence again, once', async () => {
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
  const second = control.taken.filter(name => name.startsWith('p2'));
  assert.deepEqual(second, ['p2:1', 'p2:2', 'p2:3', 'p2:4']);
});

test('a rating service that never answers holds nobody up and its queue stays bounded', async () => {
  const held = createServer(() => {});
  await new Promise<void>(resolve => held.listen(0, '127.0.0.1', resolve));
  const {port} = held.address() as AddressInfo;
  const client = new RatingClient({url: `http://127.0.0.1:${port}`});
  let ratings = 0;
  for (let index = 0; index < 2_000; index++) {
    client.enqueue(QUESTION, 'sampled', () => (ratings += 1));
  }
  assert.ok(client.countQueued() <= 512, `${client.countQueued()} queued`);
  assert.equal(ratings, 0);
  await client.stop();
  held.closeAllConnections();
  await new Promise(resolve => held.close(resolve));
});

test('a rating service that fails counts as gone; out-of-range and missing ratings never count', async () => {
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
  assert.equal(await client.query(QUESTION), undefined);
  while (client.isHealthy()) {
    const before = asked;
    client.enqueue(QUESTION, 'rollout', rating => ratings.push(rating));
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
