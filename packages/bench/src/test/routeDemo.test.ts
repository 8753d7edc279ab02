import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {RouteDemo} from '../lib/RouteDemo.js';

test('the demo serves a declared route only to a caller with its key', async () => {
  const demo = new RouteDemo('committee-key');
  try {
    await demo.start('peer-key');
    const headers = demo.buildHeaders('r1');
    const answer = await request(`${demo.entryUrl}/turns/9`, {headers});
    assert.equal(answer.statusCode, 200);
    assert.equal(await answer.body.text(), 'turn 4 of committee\n');
    const refused = await request(`${demo.entryUrl}/turns/9`, {
      headers: {...headers, 'syc-key': 'other'},
    });
    assert.equal(refused.statusCode, 401);
    await refused.body.dump();
    const unknown = await request(`${demo.entryUrl}/drafts/9`, {headers});
    assert.equal(unknown.statusCode, 404);
    await unknown.body.dump();
  } finally {
    await demo.stop();
  }
});
