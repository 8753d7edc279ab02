import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Configuration} from '@sycamorehead/schema';
import {SessionPins} from '../lib/SessionPins.js';

const V1 = {model: 'm', version: 'v1'};
const V2 = {model: 'm', version: 'v2'};

function buildConfiguration(state: 'active' | 'withdrawn'): Configuration {
  const customer = {models: [{model: 'm', versions: 'any'}]};
  return {
    customers: {c: customer},
    versions: {'m/v1': {...V1, state}, 'm/v2': {...V2, state: 'active'}},
  } as unknown as Configuration;
}

function pin(
  pins: SessionPins,
  session: string,
  version: typeof V1,
  at: number,
  configuration = buildConfiguration('active'),
) {
  const command = {type: 'pin_session', session, customer: 'c'} as const;
  return pins.pin({...command, version, at}, configuration);
}

test('the first pin of a session wins; the withdrawal of its version ends the pin and returns that version', () => {
  const pins = new SessionPins();
  assert.deepEqual(pin(pins, 's', V1, 0), {...V1, isNew: true});
  assert.deepEqual(pin(pins, 's', V2, 1), {...V1, isNew: false});
  const withdrawn = buildConfiguration('withdrawn');
  const ended = {...V2, isNew: true, endedPin: V1};
  assert.deepEqual(pin(pins, 's', V2, 2, withdrawn), ended);
  assert.deepEqual(pin(pins, 's', V1, 3, withdrawn), {...V2, isNew: false});
});

test('idle sessions expire, and a full partition drops its least recently used session', () => {
  const pins = new SessionPins({idleMs: 100, maxPerPartition: 2});
  for (let index = 0; index < 500; index++) pin(pins, `s${index}`, V1, 0);
  assert.ok(pins.count() <= 32, `${pins.count()} sessions are retained`);
  assert.equal(pin(pins, 's499', V2, 100).version, 'v1');
  assert.equal(pin(pins, 's499', V2, 200).version, 'v1', 'use renews it');
  assert.equal(pin(pins, 's499', V2, 301).version, 'v2', 'idle for 101 ms');
});
