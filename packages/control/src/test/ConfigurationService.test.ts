import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ReplicatedLog} from '@sycamorehead/consensus';
import {EMPTY_CONFIGURATION} from '@sycamorehead/schema';
import type {ControlState} from '../lib/ControlState.js';
import {ConfigurationService} from '../lib/configuration/ConfigurationService.js';

const COMMIT_MS = 20;

test('reading the revision in force waits for the check in progress, and then for one that covers its revision', async () => {
  const configuration = {...EMPTY_CONFIGURATION, revision: 0};
  let inForceRevision = 0;
  const state = {
    getConfiguration: () => configuration,
    getInForceRevision: () => inForceRevision,
    addRevisionListener: () => {},
  } as unknown as ControlState;
  const replicatedLog = {
    confirmLeadership: () => Promise.resolve(),
    getStatus: () => ({role: 'leader', term: 1}),
    addLeaderListener: () => {},
  } as unknown as ReplicatedLog;
  const service = new ConfigurationService({
    state,
    log: replicatedLog,
    leaseMs: 3_000,
    markInForce: async revision => {
      await new Promise(resolve => setTimeout(resolve, COMMIT_MS));
      inForceRevision = revision;
    },
  });
  try {
    // The term starts before the first revision, so no read waits for leases of an earlier term.
    await service.readInForce();
    configuration.revision = 1;
    const first = service.readInForce();
    await new Promise(resolve => setTimeout(resolve, COMMIT_MS / 2));
    const second = service.readInForce();
    configuration.revision = 2;
    const third = service.readInForce();
    assert.equal((await first).inForceRevision, 1);
    assert.equal((await second).inForceRevision, 2);
    assert.equal((await third).inForceRevision, 2);
  } finally {
    service.stop();
  }
});
