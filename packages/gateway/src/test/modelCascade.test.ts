import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CallerRequest} from '../lib/CallerRequest.js';
import {ModelCascade} from '../lib/ModelCascade.js';
import type {RequestTarget} from '../lib/resolveTarget.js';
import {ExplainedEntry, buildExplainedConfiguration} from './ExplainedEntry.js';

test('only sends that are made count for the price of engine time', () => {
  const configuration = buildExplainedConfiguration({
    kind: 'streaming',
    models: ['small', 'large'],
  });
  const {context} = new ExplainedEntry('estimated', configuration);
  const [route] = configuration.routes;
  const [service] = configuration.services;
  const target = {route, service} as RequestTarget;
  const request = {
    arrivedAt: performance.now(),
    size: {promptTokens: 1_000, answerTokens: 20},
  } as CallerRequest;
  const cascade = new ModelCascade(context, request);
  const estimatePrice = () => context.timePrices.estimatePrice('drafts', 1e6);
  const model = cascade.chooseNext(target);
  assert.equal(model, 'small');
  cascade.recordAnswer(target, model, 5);
  cascade.chooseLarger(target);
  assert.equal(estimatePrice(), 0);
  cascade.recordSend(target, model);
  assert.ok(estimatePrice() > 0);
});
