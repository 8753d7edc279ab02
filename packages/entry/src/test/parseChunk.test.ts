import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseChunk} from '../lib/parseChunk.js';

test('an event that is not a chunk fails the attempt instead of passing as an answer', () => {
  const wrong = [
    '',
    '{"id":"r.1"}',
    '{"id":1,"choices":[]}',
    '{"id":"","choices":[]}',
    '{"id":"r.1","choices":[{"delta":{"content":7}}]}',
    '{"id":"r.1","choices":[{"delta":{},"finish_reason":"maybe"}]}',
    '{"id":"r.1","choices":[],"offset":-1}',
    '{"id":"r.1","choices":[],"usage":{"prompt_tokens":1}}',
  ];
  for (const data of wrong) {
    assert.throws(() => parseChunk(data), {kind: 'backend_failed'}, data);
  }
});

test('a chunk without a finish reason is not a terminal one', () => {
  const chunk = parseChunk(
    '{"id":"r.1","choices":[{"delta":{"content":"a"}}]}',
  );
  assert.equal(Boolean(chunk.choices[0]?.finish_reason), false);
});
