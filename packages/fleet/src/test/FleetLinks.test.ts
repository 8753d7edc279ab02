import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {WireServer} from '@sycamorehead/wire';
import {
  ExchangeReply,
  ExchangeRequest,
  FLEET_METHODS,
  FleetUpdate,
} from '../lib/fleetMessages.js';
import {FleetLinks} from '../lib/FleetLinks.js';
import {FLEET_LINK_TIMEOUTS} from '../lib/linkTimeouts.js';

const WAIT_MS = 5_000;
const REPORT: ExchangeRequest = {entry: 'e1', load: {}, evidence: []};

/** A control instance that only counts the reports of load that it receives. */
class FakeControl {
  reports = 0;
  isIsolated = false;
  address = '';
  private readonly server: WireServer;

  constructor(dataCentre: string, isLeading: boolean) {
    const update: FleetUpdate = {dataCentre, isLeading};
    this.server = new WireServer({
      host: '127.0.0.1',
      port: 0,
      peerKey: 'test',
      timeouts: FLEET_LINK_TIMEOUTS,
      methods: {
        [FLEET_METHODS.subscribe]: () => update,
        [FLEET_METHODS.exchange]: (): ExchangeReply => {
          this.reports += 1;
          return {entries: 1, load: {}, isIsolated: this.isIsolated};
        },
      },
    });
  }

  async start(): Promise<void> {
    this.address = `127.0.0.1:${await this.server.start()}`;
  }

  stop(): Promise<void> {
    return this.server.stop();
  }
}

const started: Array<{stop(): unknown}> = [];

afterEach(async () => {
  for (const item of started.splice(0).reverse()) await item.stop();
});

async function startControls(
  ...places: ReadonlyArray<readonly [string, boolean]>
): Promise<FakeControl[]> {
  const controls = places.map(
    ([dataCentre, isLeading]) => new FakeControl(dataCentre, isLeading),
  );
  for (const control of controls) {
    await control.start();
    started.push(control);
  }
  return controls;
}

async function connectEntry(
  dataCentre: string,
  controls: readonly FakeControl[],
): Promise<FleetLinks> {
  const links = new FleetLinks({
    entry: 'e1',
    dataCentre,
    peerKey: 'test',
    seeds: controls.map(({address}) => address),
    onUpdate: () => {},
    onConfiguration: () => {},
  });
  links.start();
  started.push(links);
  await waitForLinks(links, controls.length);
  return links;
}

async function waitForLinks(links: FleetLinks, count: number): Promise<void> {
  const startedAt = performance.now();
  while (links.countLinked() !== count) {
    assert.ok(performance.now() - startedAt < WAIT_MS, 'not linked in time');
    await sleep(10);
  }
}

async function exchangeRepeatedly(
  links: FleetLinks,
  count: number,
): Promise<void> {
  for (let round = 0; round < count; round += 1) await links.exchange(REPORT);
}

test('an entry reports to a control instance of its own data centre', async () => {
  const [leader, near, far] = await startControls(
    ['a', true],
    ['b', false],
    ['c', false],
  );
  assert.ok(leader && near && far);
  const links = await connectEntry('b', [leader, near, far]);
  await exchangeRepeatedly(links, 4);
  assert.deepEqual([leader.reports, near.reports, far.reports], [0, 4, 0]);
});

test('an entry reports to the leader if no control instance of its data centre is linked', async () => {
  const [leader, near] = await startControls(['a', true], ['b', false]);
  assert.ok(leader && near);
  const links = await connectEntry('b', [leader, near]);
  started.splice(started.indexOf(near), 1);
  await near.stop();
  await waitForLinks(links, 1);
  await exchangeRepeatedly(links, 2);
  assert.deepEqual([leader.reports, near.reports], [2, 0]);
});

test('an entry leaves a control instance that hears too few others, and returns later', async () => {
  const [leader, near] = await startControls(['a', true], ['b', false]);
  assert.ok(leader && near);
  const links = await connectEntry('b', [leader, near]);
  near.isIsolated = true;
  await exchangeRepeatedly(links, 3);
  assert.deepEqual([leader.reports, near.reports], [2, 1]);
  near.isIsolated = false;
  await sleep(2_100);
  await exchangeRepeatedly(links, 1);
  assert.deepEqual([leader.reports, near.reports], [2, 2]);
});

test('an entry goes on reporting if every control instance hears too few others', async () => {
  const controls = await startControls(['a', true], ['b', false]);
  for (const control of controls) control.isIsolated = true;
  const links = await connectEntry('b', controls);
  await exchangeRepeatedly(links, 6);
  const total = controls.reduce((sum, {reports}) => sum + reports, 0);
  assert.equal(total, 6);
});
