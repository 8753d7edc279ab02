import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Clock, install} from '@sinonjs/fake-timers';
import {
  Configuration,
  EMPTY_CONFIGURATION,
  EvidenceItem,
  applyReleaseNote,
  hashKey,
  parseReleaseNote,
} from '@sycamorehead/schema';
import {EvidenceTest} from '../lib/guard/EvidenceTest.js';
import {RolloutGuard} from '../lib/guard/RolloutGuard.js';

const CUSTOMERS = ['a', 'b', 'c', 'd'];
const SERVERS = ['s1', 's2', 's3', 's4'];
const NEW = 'm/v2';
const OLD = 'm/v1';

const CONFIGURATION = applyReleaseNote(
  EMPTY_CONFIGURATION,
  parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}
    - model: m
      version: v2
      inputPrice: 1
      outputPrice: 1
      contextTokens: 8192
      qualityPrior: 0.9
      rollout:
        replaces: v1
        steps: [{share: 0.05, soakSeconds: 10}, {share: 1, soakSeconds: 10}]
        guard: {minQuality: 0.8, maxErrorRate: 0.05, minRatings: 20}
  customers:
${CUSTOMERS.map(
  name =>
    `    - {customer: ${name}, keyHash: "${hashKey(name)}", models: [{model: m, versions: any}], limits: {requestsPerSecond: 1, tokensPerSecond: 1}, qualityTarget: 0.8}`,
).join('\n')}
`),
);

/** Runs a test on a fake clock; the timers that the test runner needs stay real. */
async function runPaused(body: (clock: Clock) => Promise<void>): Promise<void> {
  const clock = install({
    toFake: [
      'performance',
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
    ],
  });
  try {
    await body(clock);
  } finally {
    clock.uninstall();
  }
}

interface Setup {
  readonly configuration?: Configuration;
  readonly isPlacementReady?: () => boolean;
}

/** Creates a guard of a configuration that the test controls, and records its commits. */
function createSetup(options: Setup = {}) {
  const state = {
    configuration: options.configuration ?? CONFIGURATION,
    isLeader: true,
    committed: [] as string[],
  };
  const setVersion = (key: string, change: object) => {
    const {configuration} = state;
    state.configuration = {
      ...configuration,
      revision: configuration.revision + 1,
      versions: {
        ...configuration.versions,
        [key]: {...configuration.versions[key]!, ...change},
      },
    };
  };
  const guard = new RolloutGuard({
    getConfiguration: () => state.configuration,
    isLeader: () => state.isLeader,
    quarantine: async ({version}, reason) => {
      state.committed.push(`quarantine ${version} ${reason}`);
      setVersion(`m/${version}`, {state: 'quarantined'});
    },
    advance: async ({version}, fromStep) => {
      state.committed.push(`advance ${version} from ${fromStep}`);
      const change = fromStep === 1 ? {state: 'active'} : {step: fromStep + 1};
      setVersion(`m/${version}`, change);
    },
    isPlacementReady: options.isPlacementReady,
  });
  let sequence = 0;
  const send = (items: EvidenceItem[], given?: number) => {
    sequence += 1;
    const batch = {
      entry: 'e1',
      epoch: 'p',
      sequence: given ?? sequence,
      items,
    };
    return {batch, receipt: guard.accept(batch)};
  };
  return {state, guard, send, setVersion};
}

function buildRatings(
  version: string,
  mean: number,
  count: number,
  change: {kind?: string; customers?: string[]; step?: number} = {},
): EvidenceItem[] {
  const customers = change.customers ?? CUSTOMERS;
  return Array.from({length: count}, (unused, index) => ({
    type: 'rating',
    version,
    kind: change.kind ?? 'proof',
    customer: customers[index % customers.length]!,
    revision: 1,
    step: change.step ?? 0,
    rating: mean + [0, 0.06, -0.06][index % 3]!,
  }));
}

function buildAttempts(
  version: string,
  result: 'answered' | 'failed' | 'truncated',
  count: number,
  change: {firstTokenMs?: number; servers?: string[]} = {},
): EvidenceItem[] {
  const servers = change.servers ?? SERVERS;
  return Array.from({length: count}, (unused, index) => ({
    type: 'attempt',
    version,
    kind: 'proof',
    customer: 'a',
    revision: 1,
    step: 0,
    result,
    server: servers[index % servers.length]!,
    firstTokenMs: change.firstTokenMs,
  }));
}

test('a version rated below its bound is quarantined after few ratings, and the reason is recorded', async () => {
  const {state, send} = createSetup();
  let ratings = 0;
  while (state.committed.length === 0 && ratings < 40) {
    send(buildRatings(NEW, 0.55, 1, {customers: [CUSTOMERS[ratings % 4]!]}));
    ratings += 1;
  }
  assert.ok(ratings <= 20, `${ratings} ratings`);
  assert.match(state.committed[0]!, /quarantine v2 test=quality/);
});

test('a version that is worse for one kind only is found by comparison with the replaced version', () => {
  const {state, send} = createSetup();
  send(buildRatings(OLD, 0.92, 60, {kind: 'proof'}));
  send(buildRatings(OLD, 0.92, 60, {kind: 'note'}));
  for (let round = 0; round < 10; round++) {
    send(buildRatings(NEW, 0.92, 4, {kind: 'note'}));
    send(buildRatings(NEW, 0.7, 2, {kind: 'proof'}));
  }
  assert.equal(state.committed.length, 1);
  assert.match(state.committed[0]!, /quarantine v2 .*kind=proof/);
});

test('a version is not quarantined for a kind that has low ratings on the replaced version too', () => {
  const {state, send} = createSetup();
  send(buildRatings(OLD, 0.83, 60));
  send(buildRatings(NEW, 0.83, 200));
  assert.deepEqual(state.committed, []);
});

test('a version that degrades long after its release is found by comparison with its history', () => {
  const {state, send, setVersion} = createSetup();
  setVersion(NEW, {state: 'active', step: 1});
  send(buildRatings(NEW, 0.95, 400));
  assert.deepEqual(state.committed, []);
  send(buildRatings(NEW, 0.6, 24));
  assert.equal(state.committed.length, 1);
  assert.match(state.committed[0]!, /^quarantine v2/);
});

test('the last active version of a model is not quarantined: its traffic has no fallback', () => {
  const {state, send, setVersion} = createSetup();
  setVersion(NEW, {state: 'withdrawn'});
  send(buildRatings(OLD, 0.95, 200));
  send(buildRatings(OLD, 0.3, 200));
  assert.deepEqual(state.committed, []);
});

test('one customer’s ratings alone never quarantine a version that others use', () => {
  const {state, send} = createSetup();
  send(buildRatings(OLD, 0.92, 60));
  send(buildRatings(NEW, 0.06, 500, {customers: ['a']}));
  assert.deepEqual(state.committed, []);
  send(buildRatings(NEW, 0.4, 20, {customers: ['b', 'c']}));
  assert.equal(state.committed.length, 1);
});

test('errors and truncated answers count only in excess of those of the other versions, and not from one server alone', () => {
  const one = createSetup();
  one.send(buildAttempts(OLD, 'answered', 50));
  one.send(buildAttempts(NEW, 'failed', 50, {servers: ['s1']}));
  assert.deepEqual(one.state.committed, []);
  const outage = createSetup();
  outage.send(buildAttempts(OLD, 'failed', 50));
  outage.send(buildAttempts(NEW, 'failed', 50));
  assert.deepEqual(outage.state.committed, []);
  const bad = createSetup();
  bad.send(buildAttempts(OLD, 'answered', 50));
  bad.send(buildAttempts(NEW, 'truncated', 8));
  assert.match(bad.state.committed[0]!, /quarantine v2 test=errors/);
});

test('a version whose first tokens come far later than those of the replaced version is quarantined', () => {
  const {state, send} = createSetup();
  send(buildAttempts(OLD, 'answered', 60, {firstTokenMs: 20}));
  send(buildAttempts(NEW, 'answered', 30, {firstTokenMs: 200}));
  assert.match(state.committed[0]!, /quarantine v2 test=latency/);
});

test('a step waits for evidence, soak time and replicas, each separately', () =>
  runPaused(async clock => {
    let isPlacementReady = false;
    const {state, guard, send} = createSetup({
      isPlacementReady: () => isPlacementReady,
    });
    guard.start();
    await clock.tickAsync(60_000);
    assert.deepEqual(state.committed, [], 'no ratings: no step');
    send(buildRatings(OLD, 0.92, 60));
    send(buildRatings(NEW, 0.92, 40));
    await clock.tickAsync(1_000);
    assert.deepEqual(state.committed, [], 'no replicas: no step');
    isPlacementReady = true;
    await clock.tickAsync(1_000);
    assert.deepEqual(state.committed, ['advance v2 from 0']);
    send(buildRatings(NEW, 0.92, 40, {step: 1}));
    await clock.tickAsync(8_000);
    assert.equal(state.committed.length, 1, 'soak time of the second step');
    await clock.tickAsync(4_000);
    assert.deepEqual(state.committed[1], 'advance v2 from 1');
    guard.stop();
  }));

test('a batch counts once, however often it is sent', () =>
  runPaused(async clock => {
    const {state, guard, send} = createSetup();
    guard.start();
    const {batch} = send(buildRatings(NEW, 0.92, 10));
    for (let index = 0; index < 5; index++) guard.accept(batch);
    await clock.tickAsync(30_000);
    assert.deepEqual(
      state.committed,
      [],
      '10 ratings are below the 20 required',
    );
    guard.stop();
  }));

test('a deposed leader discards its pool, and accepts the evidence again under a new pool id', () => {
  const {state, guard, send} = createSetup();
  guard.check();
  const first = send(buildRatings(NEW, 0.55, 4));
  state.isLeader = false;
  guard.check();
  state.isLeader = true;
  const again = guard.accept(first.batch);
  assert.notEqual(again.pool, first.receipt.pool);
  assert.equal(again.quality[0]!.count, first.receipt.quality[0]!.count);
});

test('a roll-out restarted after a quarantine is not evaluated on old evidence', () => {
  const {state, send, setVersion} = createSetup();
  send(buildRatings(NEW, 0.5, 30));
  assert.equal(state.committed.length, 1);
  setVersion(NEW, {
    state: 'rolling_out',
    since: state.configuration.revision + 1,
  });
  send(buildRatings(NEW, 0.5, 30));
  assert.equal(state.committed.length, 1);
});

test('the wealth against a true hypothesis stays below the alarm threshold at every observation', () => {
  const evidence = new EvidenceTest({
    falseAlarmRate: 0.001,
    restarts: false,
    maxSourceShare: 1,
  });
  for (let index = 0; index < 5_000; index++) {
    evidence.observe(index % 10 === 0 ? 0 : 1, 0.9, 'a');
    assert.ok(!evidence.isAlarming, `alarm after ${index}`);
  }
});
