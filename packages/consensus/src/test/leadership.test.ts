import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {
  ConsensusRequest,
  ConsensusTransport,
} from '../lib/consensusMessages.js';
import {Leadership} from '../lib/Leadership.js';
import type {LogEntry, Member} from '../lib/logTypes.js';
import {RaftState} from '../lib/RaftState.js';
import {DEFAULT_RAFT_TIMING} from '../lib/raftTiming.js';
import {LogStorage} from '../lib/storage/LogStorage.js';
import {FakeDisk, RecordingMachine} from '../testing/index.js';
import {createGroup, runPaused} from './runPaused.js';

const MEMBERS = ['c1', 'c2', 'c3'].map((name): Member => ({
  id: name,
  instance: name,
  address: name,
  role: 'voter',
}));

const EARLIER: readonly LogEntry[] = [
  {index: 1, term: 1, type: 'membership', members: MEMBERS},
  {index: 2, term: 2, type: 'command', command: 'of term 2'},
];

interface LeaderOptions {
  readonly earlier?: readonly LogEntry[];
  onLost?(reason: string): void;
}

/** Creates a leader of term 4 whose log ends with an entry of term 2. */
async function createLeader(
  transport: ConsensusTransport,
  {earlier = EARLIER, onLost = () => {}}: LeaderOptions = {},
) {
  const machine = new RecordingMachine();
  const state = new RaftState({
    id: 'c1',
    machine,
    storage: new LogStorage(new FakeDisk()),
    snapshotBytes: 1e9,
    onFailure: () => {},
  });
  await state.load();
  await state.saveVote(4, 'c1', 'group');
  const texts = earlier.map(entry => state.entries.append(entry));
  await state.storage.append(texts, earlier[1]!);
  const leadership = new Leadership({
    state,
    transport,
    timing: DEFAULT_RAFT_TIMING,
    shard: 0,
    onHigherTerm: () => {},
    onLost,
  });
  return {state, leadership, machine};
}

test('an entry of an earlier term is committed and readable only after one of the current term', () =>
  runPaused(1, async clock => {
    let reached = 2;
    const transport = {
      call: async (address: string, request: ConsensusRequest) => {
        await new Promise(resolve => setTimeout(resolve, 1));
        const sent =
          request.type === 'append'
            ? request.previousIndex + request.entries.length
            : 0;
        return {term: 4, isMatching: true, index: Math.min(sent, reached)};
      },
      readIdentity: () => Promise.reject(new Error('unused')),
    } as unknown as ConsensusTransport;
    const {state, leadership, machine} = await clock.settle(
      createLeader(transport),
    );
    leadership.start();
    let isRead = false;
    void leadership.confirm().then(() => (isRead = true));
    await clock.advance(500);
    // A majority has the entry, but a leader of term 3 could still replace it.
    assert.equal(leadership.getMatchIndex('c2'), 2);
    assert.equal(state.commitIndex, 0);
    assert.equal(isRead, false);
    reached = 3;
    await clock.advance(500);
    assert.equal(state.commitIndex, 3);
    assert.equal(isRead, true);
    assert.deepEqual(machine.list(), ['of term 2']);
    leadership.end(state.failure ?? (new Error('over') as never));
  }));

test('a learner does not count towards a quorum until it has caught up', () =>
  runPaused(2, async (clock, random) => {
    const group = createGroup(clock, random);
    await group.createGroup(['c1']);
    for (let count = 0; count < 20; count++) await group.propose(`p${count}`);
    await group.add('c2');
    const {node} = group.get('c1');
    const adding = node!.addMember('c2', 'c2');
    await clock.advance(5);
    group.network.dropLinksOf('c2');
    await clock.advance(5_000);
    assert.deepEqual(node!.getStatus().voters, ['c1']);
    assert.equal(await group.propose('alone'), 21);
    group.network.restoreLinks();
    await clock.settle(adding);
    assert.deepEqual(node!.getStatus().voters, ['c1', 'c2']);
    await clock.advance(500);
    assert.equal(group.get('c2').machine.applied.length, 21);
  }));

test('a leader keeps leading while it applies memberships from before it was added', () =>
  runPaused(3, async clock => {
    const transport = {
      call: (address: string, request: ConsensusRequest) =>
        Promise.resolve({
          term: 4,
          isMatching: true,
          index:
            request.type === 'append'
              ? request.previousIndex + request.entries.length
              : 0,
        }),
      readIdentity: () => Promise.reject(new Error('unused')),
    } as unknown as ConsensusTransport;
    const losses: string[] = [];
    const {state, leadership} = await clock.settle(
      createLeader(transport, {
        earlier: [
          {index: 1, term: 1, type: 'membership', members: MEMBERS.slice(1)},
          {index: 2, term: 2, type: 'membership', members: MEMBERS},
        ],
        onLost: reason => losses.push(reason),
      }),
    );
    leadership.start();
    await clock.advance(500);
    assert.equal(state.commitIndex, 3);
    assert.deepEqual(losses, []);
    leadership.end(state.failure ?? (new Error('over') as never));
  }));
