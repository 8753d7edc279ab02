import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PeerLink, WireServer} from '@sycamorehead/wire';
import {FleetLinks} from '../lib/FleetLinks.js';
import {FLEET_METHODS, StoredConfiguration} from '../lib/fleetMessages.js';
import {FLEET_LINK_TIMEOUTS} from '../lib/linkTimeouts.js';
import {SlowRelay} from './SlowRelay.js';

/** 7 Mbit/s. */
const BYTES_PER_MS = 875;
/** Takes 0.3 s on such a link. */
const SMALL_BYTES = 250_000;
/** Takes 2.3 s on such a link. */
const LARGE_BYTES = 2_000_000;
const WAIT_MS = 15_000;

const started: Array<{stop(): unknown}> = [];

afterEach(async () => {
  for (const item of started.splice(0).reverse()) await item.stop();
});

/** A control instance behind a slow link, which counts the configurations that it was asked for. */
class FakeControl {
  fetches = 0;
  address = '';
  relay: SlowRelay | undefined;
  private configuration: StoredConfiguration = {version: 0, document: ''};
  private readonly links = new Set<PeerLink>();
  private readonly server = new WireServer({
    host: '127.0.0.1',
    port: 0,
    peerKey: 'test',
    timeouts: FLEET_LINK_TIMEOUTS,
    methods: {
      [FLEET_METHODS.subscribe]: (params: never, link: PeerLink) => {
        this.links.add(link);
        return this.describe();
      },
      [FLEET_METHODS.fetchConfiguration]: () => {
        this.fetches += 1;
        return this.configuration;
      },
    },
  });

  async start(): Promise<void> {
    const port = await this.server.start();
    started.push(this.server);
    this.relay = new SlowRelay(port, BYTES_PER_MS);
    this.address = await this.relay.start();
    started.push(this.relay);
  }

  /** Applies a configuration and announces its version. */
  applyConfiguration(configuration: StoredConfiguration): void {
    this.configuration = configuration;
    for (const link of this.links) {
      link.notify(FLEET_METHODS.update, this.describe());
    }
  }

  private describe() {
    return {configurationVersion: this.configuration.version};
  }
}

async function startControls(count: number): Promise<FakeControl[]> {
  const controls = Array.from({length: count}, () => new FakeControl());
  for (const control of controls) await control.start();
  return controls;
}

/** Connects an entry and returns the versions that it receives. */
async function connectEntry(
  controls: readonly FakeControl[],
): Promise<number[]> {
  const versions: number[] = [];
  const links = new FleetLinks({
    entry: 'e1',
    dataCentre: 'a',
    peerKey: 'test',
    seeds: controls.map(({address}) => address),
    onUpdate: () => {},
    onConfiguration: ({version}) => versions.push(version),
  });
  links.start();
  started.push(links);
  await waitUntil(() => links.countLinked() === controls.length);
  return versions;
}

/** Waits until a condition holds and returns the time that it took, in milliseconds. */
async function waitUntil(condition: () => boolean): Promise<number> {
  const startedAt = performance.now();
  while (!condition()) {
    assert.ok(performance.now() - startedAt < WAIT_MS, 'not in time');
    await sleep(10);
  }
  return performance.now() - startedAt;
}

function buildConfiguration(
  version: number,
  bytes: number,
): StoredConfiguration {
  return {version, document: 'x'.repeat(bytes)};
}

function countFetches(controls: readonly FakeControl[]): number {
  return controls.reduce((sum, {fetches}) => sum + fetches, 0);
}

// Guards against a configuration that each control instance sends to each entry at the same time.
test('an entry fetches a version once, although all control instances announce it', async () => {
  const controls = await startControls(5);
  const versions = await connectEntry(controls);
  for (const version of [1, 2]) {
    const configuration = buildConfiguration(version, SMALL_BYTES);
    for (const control of controls) control.applyConfiguration(configuration);
    await waitUntil(() => versions.includes(version));
  }
  await sleep(500);
  assert.deepEqual(versions, [1, 2]);
  assert.equal(countFetches(controls), 2);
});

// Guards against an announcement that is forgotten since it comes right after an earlier version.
test('a version announced while an earlier one is on its way is fetched after it', async () => {
  const controls = await startControls(1);
  const versions = await connectEntry(controls);
  const [control] = controls;
  assert.ok(control);
  control.applyConfiguration(buildConfiguration(1, SMALL_BYTES));
  await waitUntil(() => control.fetches === 1);
  control.applyConfiguration(buildConfiguration(2, SMALL_BYTES));
  await waitUntil(() => versions.includes(2));
  assert.deepEqual(versions, [1, 2]);
});

// Guards against an entry that never gets a configuration whose transfer takes longer than 1.5 s.
test('a configuration arrives, however long it takes, while its transfer makes progress', async () => {
  const controls = await startControls(3);
  const versions = await connectEntry(controls);
  const configuration = buildConfiguration(1, LARGE_BYTES);
  for (const control of controls) control.applyConfiguration(configuration);
  await waitUntil(() => versions.length > 0);
  assert.deepEqual(versions, [1]);
  assert.equal(countFetches(controls), 1);
});

// Guards against a configuration that is late since the instance that announced it first is lost.
test('another control instance is asked once the transfer from the first one stalls', async () => {
  const controls = await startControls(2);
  const versions = await connectEntry(controls);
  const [first, second] = controls;
  assert.ok(first?.relay && second);
  const configuration = buildConfiguration(1, SMALL_BYTES);
  first.applyConfiguration(configuration);
  await waitUntil(() => first.fetches === 1);
  first.relay.isStalled = true;
  second.applyConfiguration(configuration);
  const waitedMs = await waitUntil(() => versions.length > 0);
  assert.ok(waitedMs < 1_800, `waited for ${waitedMs} ms`);
  assert.equal(second.fetches, 1);
});
