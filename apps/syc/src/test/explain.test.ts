import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RequestExplanation} from '@sycamorehead/fleet';
import type {SycamoreheadError} from '@sycamorehead/schema';
import {QuestionArguments, buildQuestion} from '../buildQuestion.js';
import {formatExplanation} from '../formatExplanation.js';

const ARGUMENTS: QuestionArguments = {
  url: 'shop.example:8080/drafts/1?a=b',
  method: undefined,
  id: 'r1',
  customer: 'clinic',
  session: undefined,
  tokens: '1460,80',
  segments: 'guide:1200,own:260',
  waitMs: '900',
  limit: undefined,
};

const EXPLANATION: RequestExplanation = {
  entry: '10.0.1.1',
  dataCentre: 'a',
  isReady: true,
  configuration: 7,
  requestId: 'r1',
  route: 'drafts',
  service: 'notes',
  customer: 'clinic',
  priority: 1,
  model: undefined,
  variant: 'old',
  refusedShare: 0,
  deadlineMs: 900,
  waiting: 0,
  outcome: {type: 'sent', server: 's1', isCertain: true},
  usable: 1,
  drawn: 1,
  ruledOut: {cold: 1},
  servers: [
    {
      server: 's1',
      dataCentre: 'a',
      version: 'v1',
      inFlight: 1,
      othersInFlight: 2,
      slots: 8,
      pendingMs: 40,
      isCold: false,
      score: 53,
      terms: {
        pending: 40,
        slotWait: 3,
        ownWork: 10,
        displaced: 0,
        load: 0,
        late: 0,
        distance: 0,
        silent: 0,
      },
      keptTokens: 0,
      isAlwaysCompared: false,
    },
    {
      server: 'server-2',
      dataCentre: 'b',
      version: 'v1',
      obstacle: 'cold',
      inFlight: 0,
      othersInFlight: 0,
      slots: 8,
      pendingMs: 0,
      isCold: true,
    },
  ],
  unlisted: 0,
};

test('a question is built from the command line', () => {
  assert.deepEqual(buildQuestion(ARGUMENTS), {
    host: 'shop.example',
    target: '/drafts/1?a=b',
    method: undefined,
    requestId: 'r1',
    customer: 'clinic',
    session: undefined,
    promptTokens: 1_460,
    answerTokens: 80,
    segments: [
      {id: 'guide', tokens: 1_200},
      {id: 'own', tokens: 260},
    ],
    waitMs: 900,
    limit: undefined,
  });
});

const BAD_ARGUMENTS: ReadonlyArray<Partial<QuestionArguments>> = [
  {url: '/drafts/1'},
  {url: 'https://shop.example/drafts/1'},
  {tokens: 'many'},
  {tokens: '1,2,3'},
  {tokens: '-1,2'},
  {segments: 'guide'},
  {segments: 'guide:x'},
  {segments: ':5'},
  {segments: 'a:1:2'},
  {waitMs: '1.5'},
  {limit: 'all'},
];

for (const bad of BAD_ARGUMENTS) {
  test(`a bad argument is named: ${JSON.stringify(bad)}`, () => {
    assert.throws(
      () => buildQuestion({...ARGUMENTS, ...bad}),
      (error: SycamoreheadError) => error.kind === 'malformed_request',
    );
  });
}

test('an explanation is a table with the reasons', () => {
  assert.deepEqual(formatExplanation(EXPLANATION), [
    'entry=10.0.1.1 data_centre=a configuration=7 request=r1 route=drafts service=notes customer=clinic priority=1 variant=old deadline_ms=900',
    'outcome=sent server=s1',
    'usable=1 compared=1 waiting=0 cold=1 unlisted=0',
    'server    data_centre  version  verdict  score  in_flight  slots  pending_ms  why',
    's1        a            v1       usable   53.0   3          8      40          pending=40.0 slotWait=3.0 ownWork=10.0',
    'server-2  b            v1       cold     -      0          8      0           cold=yes',
  ]);
});

test('an entry that is not ready or does not keep up says so', () => {
  const [first] = formatExplanation({
    ...EXPLANATION,
    isReady: false,
    refusedShare: 0.25,
  });
  assert.match(first ?? '', / ready=no .* refused_share=0\.25$/);
});

test('a wait and a refusal are told with their times', () => {
  const [, waits] = formatExplanation({
    ...EXPLANATION,
    outcome: {
      type: 'waits',
      reason: 'no_place',
      ahead: 2,
      expectedMs: undefined,
      abandonMs: 700,
    },
  });
  assert.equal(
    waits,
    'outcome=waits reason=no_place ahead=2 expected_ms=unknown refused_after_ms=700',
  );
  const [, refused] = formatExplanation({
    ...EXPLANATION,
    outcome: {
      type: 'refused',
      error: {
        kind: 'overloaded',
        message: 'no place came free in time',
        ran: 'no',
        retryAfterMs: 812.4,
      },
    },
  });
  assert.equal(
    refused,
    'outcome=refused kind=overloaded ran=no retry_after_ms=812 message="no place came free in time"',
  );
});
