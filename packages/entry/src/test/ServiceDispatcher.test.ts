import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Configuration,
  EMPTY_CONFIGURATION,
  SycamoreheadError,
} from '@sycamorehead/schema';
import type {ServiceDispatcherDependencies} from '../lib/ServiceDispatcher.js';
import {ServiceDispatcher} from '../lib/ServiceDispatcher.js';
import type {ServiceTask} from '../lib/ServiceTask.js';

const CUSTOMER: ServiceTask['customer'] = {
  customer: 'a',
  keyHash: 'sha256:0',
  models: [],
  services: ['rota'],
  weight: 1,
  limits: {requestsPerSecond: 100, tokensPerSecond: 1_000},
  qualityTarget: 0.5,
};

function buildConfiguration(repeatable: boolean): Configuration {
  const call = {
    method: 'POST' as const,
    path: '/turns',
    repeatable,
    priceMicros: 1,
  };
  return {
    ...EMPTY_CONFIGURATION,
    customers: {a: CUSTOMER},
    services: {rota: {service: 'rota', calls: [call]}},
  };
}

test('a call that a release note made unrepeatable after an attempt is not run again', async () => {
  let configuration = buildConfiguration(true);
  let runs = 0;
  const replicas = ['r1', 'r2'].map(id => ({
    announcement: {id, address: `http://${id}`},
  }));
  const dispatcher = new ServiceDispatcher({
    directory: {listReplicas: () => replicas},
    configuration: {get: () => configuration},
    backends: {
      callService: () => {
        runs += 1;
        configuration = buildConfiguration(false);
        throw new SycamoreheadError('backend_failed', 'reset');
      },
    },
  } as unknown as ServiceDispatcherDependencies);
  const task = {
    exchange: {
      requestId: 'req-1',
      url: new URL('http://entry/services/rota/turns'),
      request: {headers: {}},
    },
    customer: CUSTOMER,
    service: 'rota',
    path: '/turns',
    call: configuration.services['rota']!.calls[0]!,
    body: Buffer.alloc(0),
    revision: 1,
    requestKey: 'a/services/rota/req-1',
  } as unknown as ServiceTask;
  await assert.rejects(dispatcher.dispatch(task), {kind: 'outcome_unknown'});
  assert.equal(runs, 1);
});
