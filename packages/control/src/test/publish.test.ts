import assert from 'node:assert/strict';
import {test} from 'node:test';
import {JsonValue, parseReleaseNote} from '@sycamorehead/schema';
import {SingleVoterLog} from '@sycamorehead/consensus';
import {ControlNode} from '../lib/ControlNode.js';
import {ControlState} from '../lib/ControlState.js';

function createNode(): ControlNode {
  return new ControlNode({
    name: 'c1',
    createLog: machine => new SingleVoterLog('c1', machine),
  });
}

function buildNote(number: number, follows: number, summary: string) {
  return parseReleaseNote(
    `number: ${number}\nfollows: ${follows}\nsummary: ${summary}\n`,
  );
}

test('a resent note gets the same answer; another note with its number is a conflict', async () => {
  const node = createNode();
  const first = await node.publish(buildNote(1, 0, 'a'));
  await node.publish(buildNote(2, 1, 'b'));
  const resent = await node.publish(buildNote(1, 0, 'a'));
  assert.deepEqual(resent, {...first, state: 'already_in_force'});
  await assert.rejects(node.publish(buildNote(1, 0, 'other')), {
    kind: 'note_conflict',
  });
  await assert.rejects(node.publish(buildNote(4, 1, 'c')), {
    kind: 'note_out_of_order',
  });
  assert.equal((await node.readInForce()).revision, 2);
});

test('the state survives a snapshot', () => {
  const state = new ControlState();
  const note = buildNote(1, 0, 'a');
  state.apply({type: 'publish', note} as unknown as JsonValue, 1);
  const begin = {
    type: 'begin_request',
    requestKey: 'k',
    bodyDigest: 'd',
    owner: 'e1/req-1',
    isRepeatable: false,
    ownerLimitMs: 60_000,
    at: 0,
  };
  state.apply(begin, 2);
  const copy = new ControlState();
  copy.restoreSnapshot(JSON.parse(JSON.stringify(state.takeSnapshot())));
  assert.deepEqual(copy.apply({...begin, owner: 'e2/req-2'}, 3), {
    state: 'in_progress',
  });
  const own = copy.apply(begin, 3);
  assert.deepEqual(own, {state: 'begun', fencing: 2}, 'a resent command');
  const again = copy.apply({type: 'publish', note} as unknown as JsonValue, 4);
  assert.equal((again as {state: string}).state, 'already_in_force');
});
