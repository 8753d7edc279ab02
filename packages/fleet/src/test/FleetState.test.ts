import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JsonValue} from '@sycamorehead/schema';
import {FleetCommand, FleetState} from '../lib/FleetState.js';

function apply(state: FleetState, command: FleetCommand): boolean {
  const result = state.apply(command as unknown as JsonValue);
  return (result as {isChanged: boolean}).isChanged;
}

test('a configuration of the same or a lower version does not replace the stored one', () => {
  const state = new FleetState();
  const put = (version: number, document: JsonValue) =>
    apply(state, {type: 'put_configuration', version, document});
  assert.equal(put(5, 'five'), true);
  assert.equal(put(5, 'other'), false);
  assert.equal(put(4, 'four'), false);
  assert.deepEqual(state.configuration, {version: 5, document: 'five'});
  assert.equal(put(9, 'nine'), true);
  assert.equal(state.configuration.version, 9);
});

test('a repeated roll-out order changes nothing, and a finished roll-out accepts no step', () => {
  const state = new FleetState();
  const start = (target: string) =>
    apply(state, {
      type: 'start_rollout',
      service: 'drafts',
      target,
      durationMs: 9_000,
    });
  const step = (number: number, phase: 'completed' | 'rolled_back') =>
    apply(state, {
      type: 'step_rollout',
      service: 'drafts',
      number,
      step: {phase, share: 0, isEarly: false, elapsedMs: 1},
    });
  assert.equal(start('v2'), true);
  assert.equal(start('v2'), false);
  assert.equal(step(1, 'rolled_back'), true);
  assert.equal(step(1, 'completed'), false);
  assert.equal(state.findRollout('drafts')?.phase, 'rolled_back');
  assert.equal(start('v2'), false);
  assert.equal(start('v3'), true);
  assert.equal(step(1, 'completed'), false);
  assert.equal(state.findRollout('drafts')?.phase, 'in_progress');
});

test('versions that were not completed are rejected by the roll-outs that follow, until they are ordered again', () => {
  const state = new FleetState();
  let number = 0;
  const start = (target: string) => {
    number += 1;
    const order = {service: 'drafts', target, durationMs: 9_000};
    apply(state, {type: 'start_rollout', ...order});
    return state.findRollout('drafts')?.rejected;
  };
  const finish = (phase: 'completed' | 'rolled_back') => {
    const step = {phase, share: 0, isEarly: false, elapsedMs: 1};
    apply(state, {type: 'step_rollout', service: 'drafts', number, step});
  };
  assert.deepEqual(start('v2'), []);
  finish('rolled_back');
  assert.deepEqual(start('v3'), ['v2']);
  finish('completed');
  assert.deepEqual(start('v4'), ['v2']);
  // The next order supersedes this one, which is in progress.
  assert.deepEqual(start('v5'), ['v2', 'v4']);
  finish('rolled_back');
  assert.deepEqual(start('v2'), ['v4', 'v5']);
  finish('completed');
  assert.deepEqual(start('v6'), ['v4', 'v5']);
});

test('a snapshot restores everything', () => {
  const state = new FleetState();
  apply(state, {type: 'put_configuration', version: 3, document: {a: 1}});
  apply(state, {
    type: 'start_rollout',
    service: 'drafts',
    target: 'v2',
    durationMs: 9_000,
  });
  const copy = new FleetState();
  copy.restoreSnapshot(
    JSON.parse(JSON.stringify(state.takeSnapshot())) as JsonValue,
  );
  assert.deepEqual(copy.takeSnapshot(), state.takeSnapshot());
});
