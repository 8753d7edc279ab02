import {setTimeout as sleep} from 'node:timers/promises';
import type {FleetNodeOptions} from '../lib/FleetNode.js';
import {decodeTestConfiguration} from './decodeTestConfiguration.js';

const WAIT_LIMIT_MS = 15_000;
const RETRY_MS = 50;

/** Settings in which control instances of a test differ. */
export type TestNodeOptions = Pick<
  FleetNodeOptions,
  'peerPort' | 'seeds' | 'dataFolder' | 'isFirstStart' | 'faults'
>;

/** Builds the settings of a control instance at a loopback address. */
export function buildNodeOptions(
  host: string,
  options: TestNodeOptions,
): FleetNodeOptions {
  return {
    ...options,
    instance: host,
    dataCentre: 'a',
    dataCentres: ['a', 'b', 'c'],
    host,
    peerKey: 'test',
    registry: {silentMs: 4_000, expiryMs: 20_000, tombstoneMs: 60_000},
    maxCanaryShare: 0.15,
    decodeConfiguration: decodeTestConfiguration,
  };
}

/** Retries a call until it succeeds or the time limit is reached. */
export async function retry<Result>(
  call: () => Promise<Result>,
): Promise<Result> {
  const deadline = performance.now() + WAIT_LIMIT_MS;
  for (;;) {
    try {
      return await call();
    } catch (error) {
      if (performance.now() > deadline) throw error;
      await sleep(RETRY_MS);
    }
  }
}
