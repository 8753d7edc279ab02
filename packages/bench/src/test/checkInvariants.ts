import assert from 'node:assert/strict';
import type {Bill} from '@sycamorehead/schema';
import type {ChatStep, DepositStep} from './scenario.js';
import {ScenarioRun, ObservedRequest, readRequestId} from './ScenarioRun.js';

type Observed<Step> = ObservedRequest & {readonly step: Step};

/** Kinds of errors with which a graceful shutdown refuses requests that it does not run. */
const REFUSAL_KINDS = new Set(['stopping']);

/** Checks that the results of callers, the runs of stand-ins and the ledger agree. */
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

/** Checks that withdrawn or forbidden versions and leaving engines receive no new work. */
function checkForbiddenWork({forbiddenWork}: ScenarioRun): void {
  for (const {engine, runsBefore, version} of forbiddenWork) {
    const newRuns = engine.runs
      .slice(runsBefore)
      .filter(run => !version || run.version === version);
    assert.deepEqual(
      newRuns,
      [],
      'an engine received work for a withdrawn version or after it left',
    );
  }
}

/** Checks that a caller received the complete answer to its own request, or a prefix of it. */
async function checkText(
  run: ScenarioRun,
  {step, result, prompt}: Observed<ChatStep>,
): Promise<void> {
  const version = String(result.headers['sycamorehead-version'] ?? 'v1');
  if (result.text === '') return;
  // Requests with one key may differ in length; the answer to the first one is replayed.
  const tokens = step.key === undefined ? step.tokens : MAX_ANSWER_TOKENS;
  const expected = await run.readExpectedText(prompt, tokens, version);
  if (result.isComplete && step.key === undefined) {
    assert.equal(result.text, expected);
    return;
  }
  assert.ok(
    expected.startsWith(result.text),
    `"${result.text}" is not a prefix of "${expected}"`,
  );
}

/** Tokens of the longest answer of a scenario; each shorter answer is a prefix of it. */
const MAX_ANSWER_TOKENS = 10;

function checkUnkeyedChat(
  {harness}: ScenarioRun,
  {result, isEntryLost, step}: Observed<ChatStep>,
  bills: readonly Bill[],
): void {
  if (result.status === 0) {
    assert.ok(
      isEntryLost,
      'the connection broke although the entry was not lost',
    );
    return;
  }
  const id = readRequestId(result);
  const requestBills = bills.filter(({requestId}) => requestId === id);
  const runs = harness.engines.flatMap(engine =>
    engine.runs.filter(run => run.id.startsWith(`${id}.`)),
  );
  if (result.isComplete)
    assert.equal(
      requestBills.length,
      1,
      'a complete answer does not have exactly one bill',
    );
  if (result.isComplete) {
    assert.equal(requestBills[0]?.usage?.completion_tokens, step.tokens);
  }
  if (result.ran === 'yes' && !isEntryLost) {
    assert.equal(
      requestBills.length,
      1,
      'a request reported as run does not have exactly one bill',
    );
  }
  assert.ok(requestBills.length <= 1);
  if (result.ran !== 'no') return;
  assert.deepEqual(
    runs.filter(({tokens}) => tokens > 0),
    [],
    `reported as not run, but an engine sent tokens: ${result.kind}`,
  );
  assert.equal(requestBills.length, 0, 'reported as not run, but billed');
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
    assert.ok(texts.size <= 1, 'requests with one key got different answers');
  }
}

/**
 * Checks that a call that must not be repeated ran at most once, and was billed once if it was
 * answered.
 */
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
  assert.ok(keyBills.length <= runs, `${key} has more bills than runs`);
  assert.ok(new Set(completeCalls.map(({result}) => result.text)).size <= 1);
  assert.ok(new Set(completeCalls.map(({step}) => step.amount)).size <= 1);
  if (completeCalls.length > 0)
    assert.deepEqual([runs, keyBills.length], [1, 1]);
  const isNeverRun = deposits.every(({result}) => result.ran === 'no');
  if (isNeverRun)
    assert.equal(runs, 0, `${key}: reported as not run, but it ran`);
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

/** Checks that a planned stop aborted no request: each was answered, or refused as not run. */
function checkPlannedStops(observedRequests: readonly ObservedRequest[]): void {
  for (const {result, isEntryStopping, isEntryLost} of observedRequests) {
    if (!isEntryStopping || isEntryLost) continue;
    assert.notEqual(
      result.status,
      0,
      'the connection broke during a planned stop',
    );
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
  const billCount = report.totals.reduce((sum, total) => sum + total.bills, 0);
  assert.equal(billCount, bills.length);
}

function isChat(observed: ObservedRequest): observed is Observed<ChatStep> {
  return observed.step.type === 'chat';
}

function isDeposit(
  observed: ObservedRequest,
): observed is Observed<DepositStep> {
  return observed.step.type === 'deposit';
}
