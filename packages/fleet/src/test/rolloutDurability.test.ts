import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeGroup, PausedClock} from '@sycamorehead/consensus/testing';
import type {JsonValue, RolloutPhase} from '@sycamorehead/schema';
import {FleetCommand, FleetState} from '../lib/FleetState.js';

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5'];
const SERVICE = 'drafts';
const ORDER: FleetCommand = {
  type: 'start_rollout',
  service: SERVICE,
  target: 'v2',
  durationMs: 9_000,
};
const OUTCOMES: readonly RolloutPhase[] = ['completed', 'rolled_back'];
const SYNC_MS = 2;
/** Time in which a message and a write that does not stall finish, in milliseconds. */
const SETTLE_MS = 50;
/** Multiples of it spread evenly over [0, 1), modulo 1. */
const GOLDEN_RATIO_FRACTION = 0.618;

/** A new group, with its clock; c1 to c5 are its members. */
interface Scenario {
  readonly clock: PausedClock;
  readonly group: FakeGroup<FleetState>;
}

async function runScenario(
  body: (scenario: Scenario) => Promise<void>,
  snapshotBytes?: number,
): Promise<void> {
  const clock = new PausedClock();
  const group = new FakeGroup({
    clock,
    // A power failure loses everything that was not synced.
    random: () => 0,
    createMachine: () => new FleetState(),
    node: {random: createSequence(), snapshotBytes, trailingEntries: 0},
    syncMs: SYNC_MS,
  });
  try {
    await group.createGroup(NAMES);
    await body({clock, group});
  } finally {
    group.stop();
    clock.restore();
  }
}

/** Returns numbers in [0, 1) that differ, so that elections are not split for ever. */
function createSequence(): () => number {
  let last = 0;
  return () => (last = (last + GOLDEN_RATIO_FRACTION) % 1);
}

function propose({group}: Scenario, command: FleetCommand): Promise<JsonValue> {
  return group.propose(command as unknown as JsonValue);
}

function buildStep(phase: RolloutPhase): FleetCommand {
  const step = {phase, share: 0, isEarly: false, elapsedMs: 1};
  return {type: 'step_rollout', service: SERVICE, number: 1, step};
}

async function readPhase({group}: Scenario): Promise<string | undefined> {
  return (await group.waitForLeader()).machine.findRollout(SERVICE)?.phase;
}

/** Replaces the disks of some instances while all others lose power, and starts all of them again. */
async function resetDisks(
  {group}: Scenario,
  wiped: readonly string[],
): Promise<void> {
  for (const name of NAMES) {
    if (wiped.includes(name)) await group.resetDisk(name);
    else group.abort(name);
  }
  for (const name of NAMES) await group.start(name);
}

async function listFollowers({group}: Scenario): Promise<string[]> {
  const {name: leader} = await group.waitForLeader();
  return NAMES.filter(name => name !== leader);
}

/** Lists all pairs of instances. */
function listPairs(): string[][] {
  return NAMES.flatMap((first, position) =>
    NAMES.slice(position + 1).map(second => [first, second]),
  );
}

for (const wiped of listPairs()) {
  test(`a roll-out order survives the loss of the disks of ${wiped.join(' and ')} right after its acknowledgement`, () =>
    runScenario(async scenario => {
      await propose(scenario, ORDER);
      await resetDisks(scenario, wiped);
      assert.equal(await readPhase(scenario), 'in_progress');
    }));
}

for (const outcome of OUTCOMES) {
  test(`the outcome ${outcome} survives lost disks, a snapshot, a restart and a change of leader, and a repeated order does not reopen it`, () =>
    runScenario(async scenario => {
      const {clock, group} = scenario;
      await propose(scenario, ORDER);
      await propose(scenario, buildStep(outcome));
      const [first = '', second = ''] = await listFollowers(scenario);
      const lostIds = [group.get(first).id, group.get(second).id];
      await resetDisks(scenario, [first, second]);
      assert.equal(await readPhase(scenario), outcome);

      const {node} = await group.waitForLeader();
      for (const [position, name] of [first, second].entries()) {
        await clock.settle(node!.addMember(name, name));
        await clock.settle(node!.removeMember(lostIds[position]!));
      }
      for (let version = 1; version <= 20; version++) {
        await propose(scenario, {
          type: 'put_configuration',
          version,
          document: 'x'.repeat(200),
        });
      }
      assert.ok(node!.getStatus().snapshotIndex! > 0, 'a snapshot was taken');
      const {name: leader} = await group.waitForLeader();
      group.abort(leader);
      assert.notEqual((await group.waitForLeader()).name, leader);
      assert.equal(await readPhase(scenario), outcome);
      for (const name of NAMES) group.abort(name);
      for (const name of NAMES) await group.start(name);
      assert.deepEqual(await propose(scenario, ORDER), {isChanged: false});
      assert.equal(await readPhase(scenario), outcome);
    }, 2_000));
}

test('an order whose leader loses power before it is stored elsewhere is not acknowledged', () =>
  runScenario(async scenario => {
    const {clock, group} = scenario;
    const leader = await group.waitForLeader();
    group.network.dropLinksOf(leader.name);
    const open = leader.node!.propose(ORDER as unknown as JsonValue);
    open.catch(() => {});
    await clock.advance(3_000);
    await assert.rejects(open, {kind: 'control_unavailable', ran: 'unknown'});
  }));

test('an order that a killed process had not synced survives the power failure after its acknowledgement', () =>
  runScenario(async scenario => {
    const {clock, group} = scenario;
    const {name: leader, node} = await group.waitForLeader();
    const [killed = '', other = '', ...cutOff] = await listFollowers(scenario);
    for (const name of cutOff) group.network.dropLinksOf(name);
    group.get(killed).disk.fault = 'sync_stalls';
    const ordered = node!.propose(ORDER as unknown as JsonValue);
    await clock.advance(SETTLE_MS);
    group.abortProcess(killed);
    await group.start(killed);
    await clock.settle(ordered);
    group.network.restoreLinks();
    await resetDisks(scenario, [leader, other]);
    assert.equal(await readPhase(scenario), 'in_progress');
  }));
