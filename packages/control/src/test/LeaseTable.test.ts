import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausedClock} from '@sycamorehead/consensus/testing';
import {LeaseTable} from '../lib/LeaseTable.js';

const LEASE_MS = 3_000;
/** Lease duration if two clocks drift by the bound of 1% in opposite directions. */
const DRIFTED_LEASE_MS = LEASE_MS * (1.01 / 0.99);

async function runPaused(
  body: (clock: PausedClock, table: LeaseTable) => Promise<void>,
): Promise<void> {
  const clock = new PausedClock();
  try {
    await body(clock, new LeaseTable(LEASE_MS, 60_000));
  } finally {
    clock.restore();
  }
}

const LEASE = {entry: 'e1', incarnation: 'i1', grantedRevision: 1};

test('a revision is in force once older leases have expired on the slowest clock', () =>
  runPaused(async (clock, table) => {
    table.startTerm(2, 0);
    table.record({...LEASE, confirmedRevision: 1});
    assert.equal(table.isInForce(1), true);
    assert.equal(table.isInForce(2), false);
    await clock.advance(Math.floor(DRIFTED_LEASE_MS) - 1);
    assert.equal(table.isInForce(2), false);
    await clock.advance(3);
    assert.equal(table.isInForce(2), true);
  }));

test('an entry without a confirmation may route on the revision that it was first granted', () =>
  runPaused(async (clock, table) => {
    table.startTerm(2, 0);
    table.record({...LEASE, confirmedRevision: 0});
    table.record({...LEASE, confirmedRevision: 0, grantedRevision: 2});
    assert.equal(table.isInForce(1), true);
    assert.equal(table.isInForce(2), false);
    assert.equal(table.list()[0]?.confirmedRevision, 0);
    table.record({...LEASE, confirmedRevision: 2});
    assert.equal(table.isInForce(2), true);
  }));

test('two incarnations of one entry are distinguished, and a reordered request changes nothing', () =>
  runPaused(async (clock, table) => {
    table.startTerm(2, 0);
    table.record({...LEASE, confirmedRevision: 1});
    table.record({...LEASE, incarnation: 'i2', confirmedRevision: 2});
    assert.equal(table.isInForce(2), false);
    table.record({...LEASE, confirmedRevision: 2});
    table.record({...LEASE, confirmedRevision: 1});
    assert.equal(table.isInForce(2), true);
  }));

test('a term after the first revision starts by waiting for one lease duration', () =>
  runPaused(async (clock, table) => {
    table.startTerm(3, 7);
    assert.equal(table.isInForce(7), false);
    await clock.advance(Math.ceil(DRIFTED_LEASE_MS) + 1);
    table.startTerm(3, 8);
    assert.equal(table.isInForce(8), true);
  }));
