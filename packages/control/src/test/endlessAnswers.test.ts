import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {TestContext} from 'node:test';
import {EndlessPace, EndlessServer} from '@sycamorehead/wire/testing';
import {OperatorClient} from '../lib/OperatorClient.js';
import {sendOrder} from '../lib/reconciler/sendOrder.js';

const TIMEOUT_MS = 300;
/** Time for which an operator's call is retried, its last attempt and some slack, in milliseconds. */
const MAX_CALL_MS = 9_000;
const MAX_ORDER_MS = 2_000;
const MAX_READ_BYTES = 4 * 1024 * 1024;
const MAX_ANSWER_BYTES = 1024 * 1024;

const BODY = {
  opening: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
  filler: `200\r\n${'x'.repeat(512)}\r\n`,
};

async function startServer(
  context: TestContext,
  pace: EndlessPace,
): Promise<EndlessServer> {
  const server = new EndlessServer({...BODY, pace});
  context.after(() => server.stop());
  await server.start();
  return server;
}

describe('answers without end', {concurrency: true}, () => {
  for (const pace of ['fast', 'slow'] as const) {
    test(`an engine whose answer to an order has no end, ${pace}, leaves its outcome unknown in time`, async context => {
      const server = await startServer(context, pace);
      const startedAt = performance.now();
      const outcome = await sendOrder(
        `http://${server.address}`,
        {action: 'load', model: 'm', version: 'v1', fencing: 1},
        TIMEOUT_MS,
      );
      assert.deepEqual(outcome, {state: 'unknown'});
      assert.ok(performance.now() - startedAt < MAX_ORDER_MS);
      await server.waitUntilClosed();
      assert.ok(server.bytesRead <= MAX_READ_BYTES);
    });

    test(`a control instance whose answer has no end, ${pace}, does not hold an operator's call`, async context => {
      const server = await startServer(context, pace);
      const client = new OperatorClient({
        urls: [`http://${server.address}`],
        operatorToken: 'token',
        callTimeoutMs: TIMEOUT_MS,
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
      const startedAt = performance.now();
      await assert.rejects(client.readStatus(), {kind: 'control_unavailable'});
      assert.ok(performance.now() - startedAt < MAX_CALL_MS);
      await server.waitUntilClosed();
      assert.ok(server.bytesRead <= server.received * MAX_READ_BYTES);
    });
  }
});
