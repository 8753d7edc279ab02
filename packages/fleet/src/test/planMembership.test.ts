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
    caughtUp: new Set(),
    targetVoters: 5,
    ...overrides,
  };
}

const SPARE = {id: 'd/2', instance: 'd', address: 'd:1'};

test('a group that is too small adds a spare instance', () => {
  const step = planMembership(buildView({candidates: [SPARE]}));
  assert.deepEqual(step, {type: 'add_learner', candidate: SPARE});
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
  assert.deepEqual(first, {type: 'add_learner', candidate: SPARE});
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

test('a learner is promoted once it has caught up, and a lost learner is removed first', () => {
  const learner = buildMember('d', 'learner');
  const members = [...['a', 'b', 'c'].map(n => buildMember(n)), learner];
  assert.equal(planMembership(buildView({members})), undefined);
  const caughtUp = new Set(['d/1']);
  assert.deepEqual(planMembership(buildView({members, caughtUp})), {
    type: 'promote',
    id: 'd/1',
  });
  const lost = buildView({
    members,
    present: new Set(['a/1', 'b/1', 'c/1']),
    lost: new Set(['d/1']),
  });
  assert.deepEqual(planMembership(lost), {type: 'remove', id: 'd/1'});
});

test('the replacements of two lost members catch up at the same time and are promoted one by one', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];
  let members = names.map(name => buildMember(name));
  const spares = ['d', 'e', 'f'].map(name => ({
    id: `${name}/2`,
    instance: name,
    address: `${name}:1`,
  }));
  const steps: string[] = [];
  for (;;) {
    const ids = new Set(members.map(({id}) => id));
    const step = planMembership(
      buildView({
        members,
        present: new Set(['a/1', 'b/1', 'c/1', 'd/2', 'e/2', 'f/2']),
        superseded: new Set(['d/1', 'e/1']),
        candidates: spares.filter(({id}) => !ids.has(id)),
        caughtUp: new Set(['d/2', 'e/2', 'f/2']),
      }),
    );
    if (!step) break;
    if (step.type === 'add_learner') {
      steps.push(`${step.type} ${step.candidate.id}`);
      members = [...members, {...step.candidate, role: 'learner'}];
      continue;
    }
    steps.push(`${step.type} ${step.id}`);
    members =
      step.type === 'remove'
        ? members.filter(({id}) => id !== step.id)
        : members.map(member =>
            member.id === step.id ? {...member, role: 'voter'} : member,
          );
  }
  assert.deepEqual(steps, [
    'add_learner d/2',
    'add_learner e/2',
    'promote d/2',
    'remove d/1',
    'promote e/2',
    'remove e/1',
  ]);
});
