import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LinkPool} from '@sycamorehead/consensus';
import {PausedClock} from '@sycamorehead/consensus/testing';
import {ControlPeers} from '../lib/ControlPeers.js';
import type {
  ControlIdentity,
  SyncReply,
  SyncRequest,
} from '../lib/fleetMessages.js';

const OWN_ADDRESS = '10.0.0.1:7340';
const LEADER_ADDRESS = '10.0.0.2:7340';
/** Delay of the leader's replies, in milliseconds; shorter than the timeout of a sync round. */
const REPLY_DELAY_MS = 300;

function buildIdentity(address: string, memberId: string): ControlIdentity {
  return {
    address,
    instance: address,
    incarnation: 'i1',
    memberId,
    group: 'group',
    isStoring: true,
  };
}

/** Links to a leader that has removed one member and answers late. */
function createLinks(removedId: string): LinkPool {
  const request = async (
    address: string,
    method: string,
    {from}: SyncRequest,
  ): Promise<SyncReply> => {
    await new Promise(resolve => setTimeout(resolve, REPLY_DELAY_MS));
    return {
      from: buildIdentity(LEADER_ADDRESS, 'leader'),
      peers: [],
      isRemoved: from.memberId === removedId,
    };
  };
  return {request} as unknown as LinkPool;
}

/** Runs one round whose reply says that `c1/old` was removed; returns how often the peer was told. */
async function countRemovals(idAtReply: string): Promise<number> {
  const clock = new PausedClock();
  let memberId = 'c1/old';
  let removals = 0;
  const peers = new ControlPeers({
    links: createLinks('c1/old'),
    seeds: [LEADER_ADDRESS],
    getIdentity: () => buildIdentity(OWN_ADDRESS, memberId),
    listRegistrations: () => [],
    onRemoved: () => (removals += 1),
  });
  try {
    peers.start();
    await clock.advance(REPLY_DELAY_MS / 2);
    memberId = idAtReply;
    await clock.advance(REPLY_DELAY_MS);
    return removals;
  } finally {
    peers.stop();
    clock.restore();
  }
}

test('a member is told that the group has removed it', async () => {
  assert.equal(await countRemovals('c1/old'), 1);
});

test('a late reply about an id that a member has given up does not empty its new disk', async () => {
  assert.equal(await countRemovals('c1/new'), 0);
});
