import assert from 'node:assert/strict';
import {EventEmitter, getEventListeners} from 'node:events';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {CallerAnswer} from '../lib/CallerAnswer.js';

/** A response whose buffer is full after each write. */
class FullResponse extends EventEmitter {
  write(): boolean {
    setImmediate(() => this.emit('drain'));
    return false;
  }
}

test('a long answer to a slow caller does not pile up listeners', async () => {
  const response = new FullResponse();
  const answer = new CallerAnswer(
    response as unknown as ServerResponse,
    {name: 'x-request-id', value: 'r1'},
    () => false,
  );
  for (let write = 0; write < 5; write += 1) {
    await answer.write(Buffer.from('piece'));
  }
  assert.equal(getEventListeners(answer.disconnected, 'abort').length, 0);
  assert.equal(response.listenerCount('drain'), 0);
});
