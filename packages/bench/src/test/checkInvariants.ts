import assert from 'node:assert/strict';
import type {Bill} from '@sycamorehead/schema';
import type {ChatStep, DepositStep} from './scenario.js';
import {ScenarioRun, SeenRequest, readRequestId} from './ScenarioRun.js';

type Seen<Step> = SeenRequest & {readonly step: Step};

/** Errors that a graceful shutdown may cause; each promises that nothing was run. */
const TRUE_REFUSALS = new Set(['stopping']);

/** Checks what must always hold, from the caller's, the stand-ins' and the ledger's end. */
export async function checkInvariants(run: ScenarioRun): Promise<void> {
  const {harness, seen} = run;
  const bills = await harness.control.listBills();
  const chats = seen.filter(isChat);
  const deposits = seen.filter(isDeposit);
  checkProhibitions(run);
  for (const chat of chats) await checkText(run, chat);
  for (const chat of chats.filter(({step}) => step.key === undefined)) {
    checkUnkeyed(run, chat, bills);
  }
  checkKeyed(chats, bills);
  for (const key of new Set(deposits.map(({step}) => step.key))) {
    checkDeposit(
      run,
      `deposit-${key}`,
      deposits.filter(({step}) => step.key === key),
      bills,
    );
  }
  checkReads(seen, bills);
  checkStops(seen);
  await checkLedger(run, bills);
}

/** A withdrawn or forbidden version and a leaving server get no new work. */
function checkProhibitions({prohibitions}: ScenarioRun): void {
  for (const {engine, runsBefore, version} of prohibitions) {
    const later = engine.runs
      .slice(runsBefore)
      .filter(run => !version || run.version === version);
    assert.deepEqual(later, [], 'new work that must not come');
  }
}

/** A caller gets the whole answer to its own request, or a beginning of it and an error. */
async function checkText(
  run: ScenarioRun,
  {step, view, prompt}: Seen<ChatStep>,
): Promise<void> {
  const version = String(view.headers['sycamorehead-version'] ?? 'v1');
  if (view.text === '') return;
  // Requests under one key may differ in length; the first one's answer is replayed.
  const tokens = step.key === undefined ? step.tokens : KEYED_TOKENS;
  const expected = await run.readExpected(prompt, tokens, version);
  if (view.isWhole && step.key === undefined) {
    assert.equal(view.text, expected);
    return;
  }
  assert.ok(expected.startsWith(view.text), `${view.text} of ${expected}`);
}

/** The longest answer of a scenario: every shorter one is a beginning of it. */
const KEYED_TOKENS = 10;

function checkUnkeyed(
  {harness}: ScenarioRun,
  {view, isEntryLost, step}: Seen<ChatStep>,
  bills: readonly Bill[],
): void {
  if (view.status === 0) {
    assert.ok(isEntryLost, 'a connection broke without a cause');
    return;
  }
  const id = readRequestId(view);
  const own = bills.filter(({requestId}) => requestId === id);
  const runs = harness.engines.flatMap(engine =>
    engine.runs.filter(run => run.id.startsWith(`${id}.`)),
  );
  if (view.isWhole) assert.equal(own.length, 1, 'a whole answer has one bill');
  if (view.isWhole) {
    assert.equal(own[0]?.usage?.completion_tokens, step.tokens);
  }
  if (view.ran === 'yes' && !isEntryLost) {
    assert.equal(own.length, 1, 'ran, so billed');
  }
  assert.ok(own.length <= 1);
  if (view.ran !== 'no') return;
  assert.deepEqual(
    runs.filter(({tokens}) => tokens > 0),
    [],
    `"not run" is not true: ${view.kind}`,
  );
  assert.equal(own.length, 0, 'not run, but billed');
}

function checkKeyed(
  chats: ReadonlyArray<Seen<ChatStep>>,
  bills: readonly Bill[],
): void {
  for (const key of [0, 1]) {
    const own = chats.filter(({step}) => step.key === key);
    const whole = own.filter(({view}) => view.isWhole);
    const billed = bills.filter(({requestKey}) =>
      requestKey.endsWith(`/models/chat-${key}`),
    );
    if (whole.length > 0) assert.equal(billed.length, 1);
    assert.ok(billed.length <= 1);
    const texts = new Set(whole.map(({view}) => view.text));
    assert.ok(texts.size <= 1, 'one key, two answers');
  }
}

/** A call that may not be repeated runs at most once, and is billed once if it is answered. */
function checkDeposit(
  {harness}: ScenarioRun,
  key: string,
  seen: ReadonlyArray<Seen<DepositStep>>,
  bills: readonly Bill[],
): void {
  const runs = harness.countRuns(key);
  assert.ok(runs <= 1, `${key} ran ${runs} times`);
  const whole = seen.filter(({view}) => view.isWhole);
  const own = bills.filter(({requestKey}) => requestKey.endsWith(`/${key}`));
  assert.ok(own.length <= runs, `${key} is billed but did not run`);
  assert.ok(new Set(whole.map(({view}) => view.text)).size <= 1);
  assert.ok(new Set(whole.map(({step}) => step.amount)).size <= 1);
  if (whole.length > 0) assert.deepEqual([runs, own.length], [1, 1]);
  const isNeverRun = seen.every(({view}) => view.ran === 'no');
  if (isNeverRun) assert.equal(runs, 0, `${key}: "not run" is not true`);
}

function checkReads(
  seen: readonly SeenRequest[],
  bills: readonly Bill[],
): void {
  for (const {step, view} of seen) {
    if (step.type !== 'read' || !view.isWhole) continue;
    const id = readRequestId(view);
    const own = bills.filter(({requestId}) => requestId === id);
    assert.equal(own.length, 1);
  }
}

/** A planned stop cuts off nothing: each request is answered, or refused as not run. */
function checkStops(seen: readonly SeenRequest[]): void {
  for (const {view, isEntryStopping, isEntryLost} of seen) {
    if (!isEntryStopping || isEntryLost) continue;
    assert.notEqual(view.status, 0, 'cut off by a planned stop');
    if (!TRUE_REFUSALS.has(view.kind ?? '')) continue;
    assert.equal(view.ran, 'no');
  }
}

async function checkLedger(
  {harness}: ScenarioRun,
  bills: readonly Bill[],
): Promise<void> {
  const keys = bills.map(({requestKey}) => requestKey);
  assert.equal(new Set(keys).size, keys.length);
  const report = await harness.control.checkLedger();
  assert.deepEqual(report.unbilled, []);
  const counted = report.totals.reduce((sum, total) => sum + total.bills, 0);
  assert.equal(counted, bills.length);
}

function isChat(seen: SeenRequest): seen is Seen<ChatStep> {
  return seen.step.type === 'chat';
}

function isDeposit(seen: SeenRequest): seen is Seen<DepositStep> {
  return seen.step.type === 'deposit';
}
