import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers, {Clock} from '@sinonjs/fake-timers';
import type {RequestQuestion, ServerObstacle} from '@sycamorehead/fleet';
import {buildKeptPrompt} from '@sycamorehead/routing';
import {
  SycamoreheadError,
  buildIncarnationKey,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {createRandom} from './createRandom.js';
import {
  ExplainedEntry,
  TOKEN_CAPACITY,
  buildExplainedConfiguration,
} from './ExplainedEntry.js';
import {describeServer} from './FakeServer.js';

const SEEDS = 60;
const SERVERS = 12;

const QUESTION: RequestQuestion = {
  host: 'shop.example',
  target: '/drafts/1',
  customer: 'clinic',
  requestId: 'r1',
  promptTokens: 1_000,
  answerTokens: 20,
  segments: [
    {id: 'shared', tokens: 800},
    {id: 'own', tokens: 200},
  ],
};

/** The outcomes that the random states have to show. */
const OUTCOMES = ['certain', 'sent', 'waits', 'refused'];
/** What has to rule servers out in some of them. */
const SEEN = [
  'evacuated',
  'pause',
  'version_rejected',
  'other_version',
  'limit',
  'limit_check',
  'cold',
  'no_slot',
  'no_memory',
  'ejected',
  'slow_start',
];

const PROMPT = buildKeptPrompt('', QUESTION.segments ?? []);

let clock: Clock;
const {random} = Math;

beforeEach(() => {
  clock = FakeTimers.install({
    now: 1_700_000_000_000,
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  });
});

afterEach(() => {
  clock.uninstall();
  Math.random = random;
});

function build(id: string, overrides = {}) {
  return describeServer(id, `10.0.0.${id.slice(1)}:80`, {
    slots: 4,
    startedAtMs: Date.now() - 60_000,
    sequence: 1,
    ...overrides,
  });
}

/** Builds an entry that knows servers in all kinds of states, with requests in progress and waiting. */
async function buildEntry(seed: number): Promise<ExplainedEntry> {
  const draw = createRandom(seed * 7_919);
  Math.random = createRandom(seed);
  const pick = (share: number) => draw() < share;
  const policy = (['estimated', 'sampled', 'least_loaded'] as const)[seed % 3];
  const entry = new ExplainedEntry(policy, buildExplainedConfiguration(), 3);
  const {servers, versions} = entry;
  const trouble = draw() ** 2;
  const dataCentres = ['a', 'b'].filter(() => pick(0.3));
  servers.update({
    evacuation: {revision: 1, dataCentres},
    servers: Array.from({length: SERVERS}, (_, index) =>
      build(`s${index}`, {
        dataCentre: pick(0.6) ? 'b' : 'a',
        version: pick(0.4) ? 'v2' : 'v1',
        slowStartMs: pick(trouble / 2) ? 4_000 : undefined,
        state: pick(trouble / 8) ? 'leaving' : 'ready',
      }),
    ),
  });
  if (pick(0.3)) {
    versions.update([
      {
        service: 'drafts',
        target: 'v2',
        durationMs: 9_000,
        phase: pick(0.7) ? 'in_progress' : 'rolled_back',
        share: 0.5,
        isEarly: true,
        number: 1,
      },
    ]);
  }
  entry.context.times.recordTime('drafts ', 50 + draw() * 300);
  const load: Record<string, [number, number, number, number]> = {};
  for (const server of entry.listServers()) {
    const {registration} = server.listing;
    const {limits} = servers;
    load[registration.id] = [
      Math.floor(draw() * 5 * (trouble + 0.5)),
      draw() * 400,
      pick(0.5) ? 1 : 0,
      Math.floor(draw() * TOKEN_CAPACITY * (trouble + 0.4)),
    ];
    if (pick(trouble / 3)) {
      const notice = {type: 'named', perSecond: 5} as const;
      limits.record(registration, notice, performance.now());
    }
    if (pick(trouble / 3)) servers.recordFailure(server, 'test', true);
    if (pick(0.2)) servers.recordSlowness(server, draw() * 4);
    if (pick(0.3)) server.memory.kept.recordPrompt(PROMPT, 1_000);
  }
  servers.setOthersLoad(load);
  clock.tick(Math.floor(draw() * 1_500));
  for (const server of entry.listServers()) {
    const {registration} = server.listing;
    const {cold, notices} = servers;
    if (pick(trouble / 4)) cold.recordNotice(registration, 900);
    if (pick(trouble / 4)) {
      notices.record(registration, {isLeaving: pick(0.2), holdMs: 300});
    }
    if (pick(trouble / 4)) servers.recordFailure(server, 'test', true);
  }
  issuePermits(entry, draw);
  const count = Math.floor(draw() * (pick(0.4) ? 40 : 4));
  const signal = new AbortController().signal;
  for (let index = 0; index < count; index += 1) {
    const question = {
      ...QUESTION,
      requestId: `before${index}`,
      session: pick(0.5) ? `session${index % 5}` : undefined,
      promptTokens: Math.floor(draw() * 4_000),
    };
    void entry.plan(question, signal).catch(() => {});
    clock.tick(Math.floor(draw() * 30));
    await Promise.resolve();
  }
  return entry;
}

/** Lets all that has been decided take effect. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

/** Finds the first line that differs. */
function findDifference(before: string, after: string): string | undefined {
  const known = before.split('\n');
  const lines = after.split('\n');
  const index = known.findIndex((line, at) => line !== lines[at]);
  if (index < 0 && known.length === lines.length) return undefined;
  return `${known[index]} | ${lines[index]}`;
}

/** Issues permits for some of the servers that need one. */
function issuePermits(entry: ExplainedEntry, draw: () => number): void {
  const {limits, cold} = entry.servers;
  const permits: Record<string, number> = {};
  for (const {listing} of entry.listServers()) {
    const key = buildIncarnationKey(listing.registration);
    if (draw() < 0.5) permits[key] = 1 + Math.floor(draw() * 3);
  }
  cold.takeReport([], () => 0);
  const now = performance.now();
  limits.applyReply({entries: 3, load: {}, permits}, now);
  cold.applyReply({coldPermits: permits}, now);
}

/** Asks and then sends; returns the kind of the outcome, and what ruled servers out. */
async function checkExplanation(seed: number): Promise<string[]> {
  const entry = await buildEntry(seed);
  const question = {...QUESTION, session: seed % 2 ? 'session1' : undefined};
  await settle();
  const before = entry.describeState();
  const explanation = await entry.explain(question);
  assert.equal(
    findDifference(before, entry.describeState()),
    undefined,
    `seed ${seed}: state`,
  );
  const {outcome, usable, ruledOut, servers, unlisted} = explanation;
  const ruled = Object.values(ruledOut).reduce((sum, count) => sum + count, 0);
  assert.equal(usable + ruled, SERVERS);
  assert.equal(servers.length + unlisted, SERVERS);
  for (const {score, terms} of servers) {
    if (score === undefined || !terms) continue;
    const sum = Object.values(terms).reduce((total, term) => total + term, 0);
    assert.ok(Math.abs(sum - score) < 1e-6 * Math.max(1, score), 'terms');
  }
  const controller = new AbortController();
  let placed: string | undefined;
  let refusal: SycamoreheadError | undefined;
  const planned = entry.plan(question, controller.signal).then(
    ({server}) => (placed = server.listing.registration.id),
    (error: unknown) => (refusal = toSycamoreheadError(error)),
  );
  await settle();
  const text = `seed ${seed}: ${JSON.stringify(outcome)}, ${placed}, ${refusal?.message}`;
  switch (outcome.type) {
    case 'sent': {
      assert.ok(placed !== undefined, text);
      if (outcome.isCertain) assert.equal(placed, outcome.server, text);
      const candidate = servers.find(({server}) => server === placed);
      assert.equal(candidate?.obstacle, undefined, text);
      break;
    }
    case 'waits':
      assert.equal(placed ?? refusal, undefined, text);
      break;
    case 'refused':
      assert.equal(refusal?.kind, outcome.error.kind, text);
      assert.equal(refusal?.message, outcome.error.message, text);
  }
  controller.abort();
  await planned;
  const certain = outcome.type === 'sent' && outcome.isCertain;
  return [certain ? 'certain' : outcome.type, ...Object.keys(ruledOut)];
}

test('an explanation changes nothing and draws nothing, and a request then goes where it says', async () => {
  const counts = new Map<string, number>();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    for (const type of await checkExplanation(seed)) {
      counts.set(type, (counts.get(type) ?? 0) + 1);
    }
  }
  for (const type of OUTCOMES) {
    assert.ok((counts.get(type) ?? 0) >= 2, `${type}: ${counts.get(type)}`);
  }
  for (const type of SEEN) {
    assert.ok((counts.get(type) ?? 0) >= 1, `${type}: ${counts.get(type)}`);
  }
});

test('an explanation draws no random numbers', async () => {
  const entry = new ExplainedEntry('sampled', buildExplainedConfiguration(), 9);
  entry.servers.update({
    servers: Array.from({length: 20}, (_, index) => build(`s${index}`)),
  });
  Math.random = () => assert.fail('a random number is drawn');
  const {outcome, drawn, usable} = await entry.explain(QUESTION);
  assert.equal(outcome.type, 'sent');
  assert.ok(drawn > 0 && drawn <= usable, `${drawn} of ${usable}`);
});

type Change = (entry: ExplainedEntry) => void;

const OBSTACLES: ReadonlyArray<[ServerObstacle, Change]> = [
  [
    'evacuated',
    ({servers}) =>
      servers.update({evacuation: {revision: 1, dataCentres: ['b']}}),
  ],
  [
    'cold',
    ({servers}) =>
      servers.update({servers: [buildFirst({slowStartMs: 900, sequence: 2})]}),
  ],
  [
    'ejected',
    entry => entry.servers.recordFailure(findFirst(entry), 'test', true),
  ],
  ['no_slot', ({servers}) => servers.setOthersLoad({s0: [4, 0]})],
  [
    'no_memory',
    ({servers}) => servers.setOthersLoad({s0: [1, 0, 0, TOKEN_CAPACITY]}),
  ],
  [
    'limit',
    entry =>
      entry.servers.limits.record(
        findFirst(entry).listing.registration,
        {type: 'named', perSecond: 5},
        performance.now(),
      ),
  ],
  [
    'pause',
    entry =>
      entry.servers.notices.record(findFirst(entry).listing.registration, {
        isLeaving: false,
        holdMs: 300,
      }),
  ],
  [
    'leaving',
    entry =>
      entry.servers.notices.record(findFirst(entry).listing.registration, {
        isLeaving: true,
        holdMs: undefined,
      }),
  ],
  [
    'not_ready',
    ({servers}) =>
      servers.update({servers: [buildFirst({state: 'leaving', sequence: 2})]}),
  ],
  [
    'version_rejected',
    ({versions}) =>
      versions.update([{...ROLLOUT, phase: 'rolled_back', share: 0}]),
  ],
  ['other_version', ({versions}) => versions.update([ROLLOUT])],
];

const ROLLOUT = {
  service: 'drafts',
  target: 'v2',
  durationMs: 9_000,
  phase: 'in_progress',
  share: 0,
  isEarly: true,
  number: 1,
} as const;

function buildFirst(overrides = {}) {
  return build('s0', {dataCentre: 'b', version: 'v2', ...overrides});
}

function findFirst(entry: ExplainedEntry) {
  const [first] = entry.listServers();
  assert.ok(first);
  return first;
}

for (const [obstacle, change] of OBSTACLES) {
  test(`what rules a server out is named: ${obstacle}`, async () => {
    const configuration = buildExplainedConfiguration();
    const entry = new ExplainedEntry('estimated', configuration);
    entry.servers.update({servers: [buildFirst(), build('s1')]});
    const free = await entry.explain(QUESTION);
    assert.deepEqual(free.ruledOut, {});
    change(entry);
    const {ruledOut, servers, outcome} = await entry.explain(QUESTION);
    assert.deepEqual(ruledOut, {[obstacle]: 1});
    const first = servers.find(({server}) => server === 's0');
    assert.equal(first?.obstacle, obstacle);
    assert.deepEqual(outcome, {type: 'sent', server: 's1', isCertain: true});
  });
}

test('a refusal is explained with its kind and its delay', async () => {
  const configuration = buildExplainedConfiguration();
  const entry = new ExplainedEntry('estimated', configuration);
  entry.servers.update({
    servers: [buildFirst()],
    evacuation: {revision: 1, dataCentres: ['b']},
  });
  const {outcome, usable} = await entry.explain(QUESTION);
  assert.ok(outcome.type === 'refused');
  assert.equal(outcome.error.kind, 'data_centre_evacuated');
  assert.equal(outcome.error.ran, 'no');
  assert.ok((outcome.error.retryAfterMs ?? 0) >= 2_000);
  assert.equal(usable, 0);
  const large = {...QUESTION, promptTokens: TOKEN_CAPACITY + 1};
  entry.servers.update({evacuation: {revision: 2, dataCentres: []}});
  const refused = await entry.explain(large);
  assert.ok(refused.outcome.type === 'refused');
  assert.match(refused.outcome.error.message, /larger than the memory/);
});

test('a request and a prompt in quarantine are refused as they would be', async () => {
  const configuration = buildExplainedConfiguration();
  const entry = new ExplainedEntry('estimated', configuration);
  entry.servers.update({servers: [build('s0')]});
  entry.context.quarantine.update({revision: 1, combinations: [['shared']]});
  const {outcome} = await entry.explain(QUESTION);
  assert.ok(outcome.type === 'refused');
  assert.equal(outcome.error.kind, 'segment_quarantined');
  const sound = {...QUESTION, segments: []};
  assert.equal((await entry.explain(sound)).outcome.type, 'sent');
});

test('no more servers are listed than asked for; the others are counted', async () => {
  const configuration = buildExplainedConfiguration();
  const entry = new ExplainedEntry('estimated', configuration);
  entry.servers.update({
    servers: Array.from({length: 200}, (_, index) =>
      build(`s${index}`, {state: index < 50 ? 'leaving' : 'ready'}),
    ),
  });
  const {servers, unlisted, usable, ruledOut} = await entry.explain({
    ...QUESTION,
    limit: 160,
  });
  assert.deepEqual([servers.length, unlisted, usable], [160, 40, 150]);
  assert.deepEqual(ruledOut, {not_ready: 50});
  assert.equal((await entry.explain(QUESTION)).servers.length, 20);
});

test('a question before the first configuration is refused, and no key is told', async () => {
  const entry = new ExplainedEntry('estimated');
  await assert.rejects(
    async () => entry.explain(QUESTION),
    (error: SycamoreheadError) => error.kind === 'no_configuration',
  );
  entry.setConfiguration(buildExplainedConfiguration());
  entry.servers.update({servers: [build('s0')]});
  for (const question of [
    QUESTION,
    {...QUESTION, customer: '', key: 'key-1'},
  ]) {
    const explanation = await entry.explain(question);
    assert.equal(explanation.customer, 'clinic');
    assert.ok(!JSON.stringify(explanation).includes('key-1'));
  }
});
