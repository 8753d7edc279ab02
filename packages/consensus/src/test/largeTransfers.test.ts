import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ConsensusRequest} from '../lib/consensusMessages.js';
import type {FakeGroup} from '../testing/index.js';
import type {LastCommandMachine} from './LastCommandMachine.js';
import {createLastCommandGroup, runPaused} from './runPaused.js';

const NAMES = ['c1', 'c2', 'c3'];
const DOCUMENT_BYTES = 50_000;
const DOCUMENT = 'x'.repeat(DOCUMENT_BYTES);
const SNAPSHOT_BYTES = 4 * DOCUMENT_BYTES;
/** The snapshot, the entries since, some of them sent twice, and their encoding. */
const MAX_CATCH_UP_BYTES = 2 * (SNAPSHOT_BYTES + DOCUMENT_BYTES);
const LARGE_DOCUMENT = 'x'.repeat(300_000);
/** Time that a large request takes on its way, longer than a leader may be without a quorum. */
const TRANSFER_MS = 1_500;

type Receive = (request: ConsensusRequest) => Promise<never>;

/** Lets a test see or delay the requests that a member receives. */
function wrapReceive(
  group: FakeGroup<LastCommandMachine>,
  name: string,
  wrap: (request: ConsensusRequest) => Promise<void>,
): void {
  const endpoint = group.network.endpoints.get(name)!;
  const receive = endpoint.receive.bind(endpoint) as Receive;
  group.network.endpoints.set(name, {
    getIdentity: () => endpoint.getIdentity(),
    receive: async request => {
      await wrap(request);
      return receive(request);
    },
  });
}

// Guards against a new member that is not ready in time, since it was sent every earlier document.
test('a new member is sent the snapshot in place of a log that is longer', () =>
  runPaused(42, async (clock, random) => {
    const group = createLastCommandGroup(clock, random, {
      snapshotBytes: SNAPSHOT_BYTES,
    });
    await group.createGroup(NAMES);
    for (let count = 1; count <= 20; count++) {
      await group.propose(`${count} ${DOCUMENT}`);
    }
    await group.add('c4');
    let bytes = 0;
    wrapReceive(group, 'c4', async request => {
      bytes += JSON.stringify(request).length;
    });
    const {node} = await group.waitForLeader();
    await clock.settle(node!.addMember('c4', 'c4'));
    assert.equal(group.get('c4').machine.last, `20 ${DOCUMENT}`);
    assert.ok(bytes <= MAX_CATCH_UP_BYTES, `${bytes} bytes`);
    group.stop();
  }));

// Guards against a leader that is deposed, or never commits, while large entries are under way.
test('an entry that takes long on its way is committed, and the leader confirms reads meanwhile', () =>
  runPaused(43, async (clock, random) => {
    const group = createLastCommandGroup(clock, random);
    await group.createGroup(NAMES);
    const leader = await group.waitForLeader();
    const {term} = leader.node!.getStatus();
    for (const name of NAMES.filter(other => other !== leader.name)) {
      wrapReceive(group, name, async request => {
        const isBulk = request.type === 'append' && request.entries.length > 0;
        if (!isBulk) return;
        await new Promise(resolve => setTimeout(resolve, TRANSFER_MS));
      });
    }
    let isCommitted = false;
    const proposed = leader.node!.propose(LARGE_DOCUMENT).then(() => {
      isCommitted = true;
    });
    await clock.advance(TRANSFER_MS / 2);
    let isConfirmed = false;
    void leader.node!.confirmLeadership().then(() => (isConfirmed = true));
    await clock.advance(TRANSFER_MS / 4);
    assert.ok(isConfirmed, 'no quorum has confirmed the read');
    assert.equal(isCommitted, false);
    await clock.advance(TRANSFER_MS);
    assert.ok(isCommitted, 'the entry is not committed');
    await proposed;
    assert.equal(leader.node!.getStatus().role, 'leader');
    assert.equal(leader.node!.getStatus().term, term);
    group.stop();
  }));
