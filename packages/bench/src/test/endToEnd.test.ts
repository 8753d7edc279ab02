import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeDigest} from '@sycamorehead/schema';
import {Demo} from '../lib/Demo.js';
import {SessionTranscript} from './SessionTranscript.js';

const MESSAGES = [{role: 'user', content: 'Draft an inscription for a spoon'}];

test('golden session: publish, chat, stream, plain call, bill, refusals', async () => {
  const demo = new Demo();
  const session = new SessionTranscript();
  await demo.start();
  try {
    await recordSession(demo, session);
    session.compareWithGolden('thin-path');
  } finally {
    await demo.stop();
  }
});

async function recordSession(
  demo: Demo,
  session: SessionTranscript,
): Promise<void> {
  const [first = '', second = ''] = demo.entryUrls;
  session.replaceValue(first, 'http://entry-1');
  session.replaceValue(second, 'http://entry-2');
  const note = demo.buildNote();
  session.replaceValue(computeDigest(note), 'NOTE-DIGEST');
  const operator = demo.createOperator();
  const published = await operator.publish(note);
  session.addLine(`publish again: ${JSON.stringify(published)}`);
  const authorization = `Bearer ${demo.keys.customerKey}`;
  const chat = `${first}/v1/chat/completions`;
  await session.recordCall({
    title: 'whole answer',
    method: 'POST',
    url: chat,
    headers: {authorization},
    body: {
      model: 'auto',
      messages: MESSAGES,
      metadata: {kind: 'proof', stand_in_tokens: '6'},
    },
  });
  await session.recordCall({
    title: 'streamed answer from the other entry',
    method: 'POST',
    url: `${second}/v1/chat/completions`,
    headers: {authorization, 'sycamorehead-session': 's1'},
    body: {
      model: 'inscription',
      stream: true,
      max_tokens: 4,
      messages: [{role: 'user', content: 'Workshop note'}],
    },
  });
  const deposit = {
    method: 'POST',
    url: `${first}/services/orders/deposits`,
    headers: {authorization, 'idempotency-key': 'd1'},
    body: {amount: 20},
  };
  await session.recordCall({...deposit, title: 'deposit'});
  await session.recordCall({
    ...deposit,
    title: 'deposit resent to the other entry',
    url: `${second}/services/orders/deposits`,
  });
  await session.recordCall({
    title: 'order status',
    url: `${first}/services/orders/orders/7`,
    headers: {authorization},
  });
  await recordRefusals(session, first, authorization);
  const bills = await operator.listBills();
  session.addLine('## bills');
  for (const bill of bills) session.addLine(JSON.stringify(bill));
  session.addLine(`deposits run: ${demo.services[0]?.countRuns('d1')}`);
  assert.equal(bills.length, 4);
}

async function recordRefusals(
  session: SessionTranscript,
  entry: string,
  authorization: string,
): Promise<void> {
  const chat = {method: 'POST', url: `${entry}/v1/chat/completions`};
  const headers = {authorization};
  const body = {model: 'auto', messages: MESSAGES};
  await session.recordCall({...chat, title: 'no key', body});
  await session.recordCall({
    ...chat,
    title: 'unknown key',
    headers: {authorization: 'Bearer nobody'},
    body,
  });
  await session.recordCall({
    ...chat,
    title: 'malformed JSON',
    headers,
    body: '{"',
  });
  await session.recordCall({
    ...chat,
    title: 'field of the wrong form',
    headers,
    body: {model: 'auto', messages: 'hi'},
  });
  await session.recordCall({
    ...chat,
    title: 'unknown model',
    headers,
    body: {...body, model: 'engraver'},
  });
  await session.recordCall({
    title: 'deposit without a key',
    method: 'POST',
    url: `${entry}/services/orders/deposits`,
    headers,
    body: {amount: 20},
  });
  await session.recordCall({
    title: 'deposit key reused with another body',
    method: 'POST',
    url: `${entry}/services/orders/deposits`,
    headers: {...headers, 'idempotency-key': 'd1'},
    body: {amount: 999},
  });
  await session.recordCall({
    title: 'unknown service',
    url: `${entry}/services/stock/items`,
    headers,
  });
  await session.recordCall({
    title: 'unknown path',
    url: `${entry}/v2/chat`,
    headers,
  });
}
