import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildSessionName} from '../lib/buildSessionName.js';

test('a session is what its caller names, or else the last shared part of the prompt', () => {
  const promptSegments = ['system', 'document', 'question'].map(id => ({
    id,
    tokens: 10,
  }));
  const build = (session: string | undefined, segments = promptSegments) =>
    buildSessionName({
      request: {session, promptSegments: segments},
      customer: 'clinic',
    });
  assert.equal(build('17'), 'clinic 17');
  assert.equal(build(undefined), 'clinic document');
  assert.equal(build(undefined, promptSegments.slice(0, 1)), undefined);
});
