import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {hashKey, parseReleaseNote} from '@sycamorehead/schema';
import {Fleet} from '../lib/load/Fleet.js';

const KEY = 'draining-key';
const LONG_ANSWER_TOKENS = 150;
const LATER_REQUESTS = 24;

const NOTE = parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}
  customers:
    - customer: a
      keyHash: ${hashKey(KEY)}
      models: [{model: m, versions: any}]
      limits: {requestsPerSecond: 1000, tokensPerSecond: 100000}
      qualityTarget: 0.5
`);

async function requestAnswer(
  entryUrl: string,
  tokens: number,
): Promise<number> {
  const {statusCode, body} = await request(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: 'm',
      messages: [{role: 'user', content: 'Draft'}],
      metadata: {stand_in_tokens: String(tokens)},
    }),
  });
  const answer = (await body.json()) as {
    usage?: {completion_tokens: number};
  };
  assert.equal(statusCode, 200, JSON.stringify(answer));
  return answer.usage?.completion_tokens ?? 0;
}

// Guards against entries that still dispatch to an engine after it announced that it leaves.
test('a draining engine finishes its running requests and gets no new ones from any entry', async () => {
  const fleet = new Fleet({
    note: NOTE,
    entries: 3,
    engines: 2,
    engineSpeed: {
      slots: 32,
      stepMs: 4,
      stepMsPerJob: 0,
      prefillTokensPerMs: 20,
    },
  });
  await fleet.start();
  try {
    const long = Array.from({length: 6}, (unused, index) =>
      requestAnswer(fleet.entryUrls[index % 3] ?? '', LONG_ANSWER_TOKENS),
    );
    const draining = fleet.engines[0];
    assert.ok(draining);
    while (draining.runs.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    await draining.announcer.leave();
    const runsAtLeave = draining.runs.length;
    const after = Array.from({length: LATER_REQUESTS}, (unused, index) =>
      requestAnswer(fleet.entryUrls[index % 3] ?? '', 2),
    );
    await Promise.all(after);
    const answered = await Promise.all(long);
    assert.deepEqual(new Set(answered), new Set([LONG_ANSWER_TOKENS]));
    assert.equal(
      draining.runs.length,
      runsAtLeave,
      'the draining engine received a new request',
    );
    const outcomes = new Set(draining.runs.map(({outcome}) => outcome));
    assert.deepEqual(
      outcomes,
      new Set(['finished']),
      'a request of the draining engine was not finished',
    );
  } finally {
    await fleet.stop();
  }
});
