import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RequestQuestion} from '@sycamorehead/fleet';
import type {SycamoreheadError} from '@sycamorehead/schema';
import {decodeQuestion} from '../lib/decodeQuestion.js';
import {resolveTarget} from '../lib/resolveTarget.js';
import {RouteTable} from '../lib/RouteTable.js';
import {buildExplainedConfiguration} from './ExplainedEntry.js';

const QUESTION: RequestQuestion = {
  host: 'shop.example',
  target: '/drafts/1',
  customer: 'clinic',
};

const BAD_QUESTIONS: ReadonlyArray<[unknown, string, RegExp]> = [
  [undefined, 'malformed_request', /^question/],
  [{...QUESTION, host: ''}, 'malformed_request', /^host/],
  [{...QUESTION, host: 'other.example'}, 'not_found', /no route/],
  [{...QUESTION, target: '/other/1'}, 'not_found', /no route/],
  [{...QUESTION, target: 'drafts'}, 'malformed_request', /^target/],
  [{...QUESTION, customer: 'nobody'}, 'not_found', /no customer/],
  [{...QUESTION, key: 'key-1'}, 'malformed_request', /^customer/],
  [{...QUESTION, customer: '', key: 'secret-1'}, 'unauthenticated', /unknown/],
  [{...QUESTION, promptTokens: -1}, 'malformed_request', /^promptTokens/],
  [{...QUESTION, answerTokens: 1.5}, 'malformed_request', /^answerTokens/],
  [{...QUESTION, promptTokens: 1e9}, 'malformed_request', /^promptTokens/],
  [{...QUESTION, waitMs: NaN}, 'malformed_request', /^waitMs/],
  [{...QUESTION, segments: 'a:1'}, 'malformed_request', /^segments/],
  [{...QUESTION, segments: [{id: '', tokens: 1}]}, 'malformed_request', /^id/],
  [
    {...QUESTION, segments: [{id: 'a', tokens: '1'}]},
    'malformed_request',
    /^tokens/,
  ],
  [
    {
      ...QUESTION,
      segments: Array.from({length: 65}, () => ({id: 'a', tokens: 1})),
    },
    'malformed_request',
    /^segments/,
  ],
  [{...QUESTION, body: '***'}, 'malformed_request', /^body/],
  [
    {...QUESTION, body: Buffer.alloc(1_001).toString('base64')},
    'body_too_large',
    /1000 bytes/,
  ],
  [{...QUESTION, body: 'A'.repeat(5_000)}, 'body_too_large', /1000 bytes/],
  [{...QUESTION, limit: 301}, 'malformed_request', /^limit/],
];

for (const [question, kind, message] of BAD_QUESTIONS) {
  const text = JSON.stringify(question)?.slice(0, 100);
  test(`a bad question is refused: ${kind} ${message}, ${text}`, () => {
    const routes = new RouteTable(buildExplainedConfiguration());
    assert.throws(
      () => resolveTarget(routes, decodeQuestion(question, routes).request),
      (error: SycamoreheadError) => {
        assert.equal(error.kind, kind);
        assert.match(error.message, message);
        assert.ok(!error.message.includes('secret-1'));
        return true;
      },
    );
  });
}
