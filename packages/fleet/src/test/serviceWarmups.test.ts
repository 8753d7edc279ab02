import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RouteConfiguration} from '@sycamorehead/schema';
import {ServerRegistry} from '../lib/ServerRegistry.js';
import {ServiceWarmups} from '../lib/ServiceWarmups.js';
import {buildRegistration} from './fixtures.js';

const TIMEOUTS = {silentMs: 4_000, expiryMs: 20_000, tombstoneMs: 100_000};
const WARMUP = {durationMs: 3_000, perSecond: 10};

test('what a server bears follows the configuration that is applied', () => {
  const registry = new ServerRegistry(TIMEOUTS);
  registry.accept(buildRegistration({startedAtMs: 7}));
  let version = 1;
  let decodings = 0;
  const warmups = new ServiceWarmups(
    document => {
      decodings += 1;
      const services = [{name: 'drafts', ...(document as object)}];
      return {services} as unknown as RouteConfiguration;
    },
    () => ({version, document: version === 2 ? {warmup: WARMUP} : {}}),
    id => registry.find(id)?.registration,
  );
  assert.equal(warmups.find('s1 7'), undefined);
  version = 2;
  assert.deepEqual(warmups.find('s1 7'), WARMUP);
  assert.equal(warmups.find('s2 7'), undefined);
  assert.equal(warmups.find('nonsense'), undefined);
  assert.equal(decodings, 2);
  version = 3;
  assert.equal(warmups.find('s1 7'), undefined);
});

test('before the first configuration no server is known to be cold', () => {
  const warmups = new ServiceWarmups(
    () => assert.fail('there is nothing to decode'),
    () => ({version: 0, document: null}),
    () => buildRegistration(),
  );
  assert.equal(warmups.find('s1 7'), undefined);
});
