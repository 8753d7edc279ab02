import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Member} from '@sycamorehead/consensus';
import {MembershipView, planMembership} from '../lib/planMembership.js';

function buildMember(name: string, role: Member['role'] = 'voter'): Member {
  return {id: `${name}/1`, instance: name, address: `${name}:1`, role};
}

function buildView(overrides: Partial<MembershipView>): MembershipView {
  const members = overrides.members ?? ['a', 'b', 'c'].map(n => buildMember(n));
  return {
    members,
    ownId: 'a/1',
    candidates: [],
    present: new Set(members.map(({id}) => id)),
    superseded: new Set(),
    lost: new Set(),
    targetVoters: 5,
    ...overrides,
  };
}

const SPARE = {id: 'd/2', instance: 'd', address: 'd:1'};

test('a group that is too small adds a spare instance', () => {
  const step = planMembership(buildView({candidates: [SPARE]}));
  assert.deepEqual(step, {type: 'add', candidate: SPARE});
});

test('a complete group adds no instance', () => {
  const members = ['a', 'b', 'c', 'd', 'e'].map(name => buildMember(name));
  const view = buildView({members, candidates: [SPARE]});
  assert.equal(planMembership(view), undefined);
});

test('a replacement is added before the member that it replaces is removed', () => {
  const five = ['a', 'b', 'c', 'd', 'e'].map(name => buildMember(name));
  const present = new Set(['a/1', 'b/1', 'c/1', 'e/1']);
  const superseded = new Set(['d/1']);
  const first = planMembership(
    buildView({members: five, present, superseded, candidates: [SPARE]}),
  );
  assert.deepEqual(first, {type: 'add', candidate: SPARE});
  const six = [...five, {...SPARE, role: 'voter' as const}];
  const second = planMembership(
    buildView({
      members: six,
      present: new Set([...present, SPARE.id]),
      superseded,
    }),
  );
  assert.deepEqual(second, {type: 'remove', id: 'd/1'});
});

test('a silent member is retained if there is no spare instance', () => {
  const view = buildView({
    present: new Set(['a/1', 'b/1']),
    lost: new Set(['c/1']),
  });
  assert.equal(planMembership(view), undefined);
});

test('a learner is promoted to voter, and a lost learner is removed first', () => {
  const learner = buildMember('d', 'learner');
  const members = [...['a', 'b', 'c'].map(n => buildMember(n)), learner];
  assert.deepEqual(planMembership(buildView({members})), {
    type: 'add',
    candidate: learner,
  });
  const lost = buildView({
    members,
    present: new Set(['a/1', 'b/1', 'c/1']),
    lost: new Set(['d/1']),
  });
  assert.deepEqual(planMembership(lost), {type: 'remove', id: 'd/1'});
});
