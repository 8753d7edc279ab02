import assert from 'node:assert/strict';
import type {Bill} from '@sycamorehead/schema';
import type {ChatStep, DepositStep} from './scenario.js';
import {ScenarioRun, ObservedRequest, readRequestId} from './ScenarioRun.js';

type Observed<Step> = ObservedRequest & {readonly step: Step};

/** Errors that a graceful shutdown may cause; each promises that nothing was run. */
const REFUSAL_KINDS = new Set(['stopping']);

/** Checks what must always hold, from the caller's, the stand-ins' and the ledger's end. */
export async function checkInvariants(run: ScenarioRun): Promise<void> {
  const {harness, observedRequests} = run;
  const bills = await harness.control.listBills();
  const chats = observedRequests.filter(isChat);
  const deposits = observedRequests.filter(isDeposit);
  checkForbiddenWork(run);
  for (const chat of chats) await checkText(run, chat);
  for (const chat of chats.filter(({step}) => step.key === undefined)) {
    checkUnkeyedChat(run, chat, bills);
  }
  checkKeyedChats(chats, bills);
  for (const key of new Set(deposits.map(({step}) => step.key))) {
    checkDeposit(
      run,
      `deposit-${key}`,
      deposits.filter(({step}) => step.key === key),
      bills,
    );
  }
  checkReads(observedRequests, bills);
  checkPlannedStops(observedRequests);
  await checkLedger(run, bills);
}

/** A withdrawn or forbidden version and a leaving server get no new work. */
function checkForbiddenWork({forbiddenWork}: ScenarioRun): void {
  for (const {engine, runsBefore, version} of forbiddenWork) {
    const newRuns = engine.runs
      .slice(runsBefore)
      .filter(run => !version || run.version === version);
    assert.deepEqual(newRuns, [], 'new work that must not come');
  }
}

/** A caller gets the whole answer to its own request, or a beginning of it and an error. */
async function checkText(
  run: ScenarioRun,
  {step, result, prompt}: Observed<ChatStep>,
): Promise<void> {
  const version = String(result.headers['sycamorehead-version'] ?? 'v1');
  if (result.text === '') return;
  // Requests under one key may differ in length; the first one's answer is replayed.
  const tokens = step.key === undefined ? step.tokens : MAX_ANSWER_TOKENS;
  const expected = await run.readExpectedText(prompt, tokens, version);
  if (result.isComplete && step.key === undefined) {
    assert.equal(result.text, expected);
    return;
  }
  assert.ok(expected.startsWith(result.text), `${result.text} of ${expected}`);
}

/** The longest answer of a scenario: every shorter one is a beginning of it. */
const MAX_ANSWER_TOKENS = 10;

function checkUnkeyedChat(
  {harness}: ScenarioRun,
  {result, isEntryLost, step}: Observed<ChatStep>,
  bills: readonly Bill[],
): void {
  if (result.status === 0) {
    assert.ok(isEntryLost, 'a connection broke without a cause');
    return;
  }
  const id = readRequestId(result);
  const requestBills = bills.filter(({requestId}) => requestId === id);
  const runs = harness.engines.flatMap(engine =>
    engine.runs.filter(run => run.id.startsWith(`${id}.`)),
  );
  if (result.isComplete)
    assert.equal(requestBills.length, 1, 'a whole answer has one bill');
  if (result.isComplete) {
    assert.equal(requestBills[0]?.usage?.completion_tokens, step.tokens);
  }
  if (result.ran === 'yes' && !isEntryLost) {
    assert.equal(requestBills.length, 1, 'ran, so billed');
  }
  assert.ok(requestBills.length <= 1);
  if (result.ran !== 'no') return;
  assert.deepEqual(
    runs.filter(({tokens}) => tokens > 0),
    [],
    `"not run" is not true: ${result.kind}`,
  );
  assert.equal(requestBills.length, 0, 'not run, but billed');
}

function checkKeyedChats(
  chats: ReadonlyArray<Observed<ChatStep>>,
  bills: readonly Bill[],
): void {
  for (const key of [0, 1]) {
    const keyChats = chats.filter(({step}) => step.key === key);
    const completeChats = keyChats.filter(({result}) => result.isComplete);
    const keyBills = bills.filter(({requestKey}) =>
      requestKey.endsWith(`/models/chat-${key}`),
    );
    if (completeChats.length > 0) assert.equal(keyBills.length, 1);
    assert.ok(keyBills.length <= 1);
    const texts = new Set(completeChats.map(({result}) => result.text));
    assert.ok(texts.size <= 1, 'one key, two answers');
  }
}

/** A call that may not be repeated runs at most once, and is billed once if it is answered. */
function checkDeposit(
  {harness}: ScenarioRun,
  key: string,
  deposits: ReadonlyArray<Observed<DepositStep>>,
  bills: readonly Bill[],
): void {
  const runs = harness.countRuns(key);
  assert.ok(runs <= 1, `${key} ran ${runs} times`);
  const completeCalls = deposits.filter(({result}) => result.isComplete);
  const keyBills = bills.filter(({requestKey}) =>
    requestKey.endsWith(`/${key}`),
  );
  assert.ok(keyBills.length <= runs, `${key} is billed but did not run`);
  assert.ok(new Set(completeCalls.map(({result}) => result.text)).size <= 1);
  assert.ok(new Set(completeCalls.map(({step}) => step.amount)).size <= 1);
  if (completeCalls.length > 0)
    assert.deepEqual([runs, keyBills.length], [1, 1]);
  const isNeverRun = deposits.every(({result}) => result.ran === 'no');
  if (isNeverRun) assert.equal(runs, 0, `${key}: "not run" is not true`);
}

function checkReads(
  observedRequests: readonly ObservedRequest[],
  bills: readonly Bill[],
): void {
  for (const {step, result} of observedRequests) {
    if (step.type !== 'read' || !result.isComplete) continue;
    const id = readRequestId(result);
    const requestBills = bills.filter(({requestId}) => requestId === id);
    assert.equal(requestBills.length, 1);
  }
}

/** A planned stop cuts off nothing: each request is answered, or refused as not run. */
function checkPlannedStops(observedRequests: readonly ObservedRequest[]): void {
  for (const {result, isEntryStopping, isEntryLost} of observedRequests) {
    if (!isEntryStopping || isEntryLost) continue;
    assert.notEqual(result.status, 0, 'cut off by a planned stop');
    if (!REFUSAL_KINDS.has(result.kind ?? '')) continue;
    assert.equal(result.ran, 'no');
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

function isChat(observed: ObservedRequest): observed is Observed<ChatStep> {
  return observed.step.type === 'chat';
}

function isDeposit(
  observed: ObservedRequest,
): observed is Observed<DepositStep> {
  return observed.step.type === 'deposit';
}
