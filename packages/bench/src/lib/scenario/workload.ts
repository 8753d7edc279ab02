/**
 * The first users' sizes, as the experiments on backend servers and admission use them: tokens come
 * about five times faster than from an engine with 60 ms between tokens.
 *
 * @public
 */
import {ReleaseNote, hashKey, parseReleaseNote} from '@sycamorehead/schema';
import type {EngineSpeed} from '@sycamorehead/stand-ins';
import type {CustomerLoad, WorkKind} from '../load/arrivals.js';

/** Entries of the scenario fleet. @public */
export const ENTRY_COUNT = 8;
/** Engines of the scenario fleet. @public */
export const ENGINE_COUNT = 8;
/** Replicas of the plain service. @public */
export const SERVICE_COUNT = 3;

/** Speed of each engine. @public */
export const ENGINE_SPEED: EngineSpeed = {
  slots: 6,
  stepMs: 11,
  stepMsPerJob: 0.2,
  prefillTokensPerMs: 20,
};

/** Tokens that all engines together generate in a millisecond with every slot taken. @public */
export const CAPACITY_TOKENS_PER_MS =
  (ENGINE_COUNT * ENGINE_SPEED.slots) /
  (ENGINE_SPEED.stepMs + (ENGINE_SPEED.slots - 1) * ENGINE_SPEED.stepMsPerJob);

/** Customers by their share of the arrivals: a few large ones. @public */
export const CUSTOMERS: readonly CustomerLoad[] = [
  {customer: 'large-1', weight: 4},
  {customer: 'large-2', weight: 3},
  {customer: 'large-3', weight: 3},
  {customer: 'medium-1', weight: 2},
  {customer: 'small-1', weight: 1},
  {customer: 'small-2', weight: 1},
  {customer: 'small-3', weight: 1},
  {customer: 'small-4', weight: 1},
  {customer: 'small-5', weight: 1},
  {customer: 'small-6', weight: 1},
];

const PROOF: WorkKind = {
  kind: 'proof',
  weight: 60,
  promptTokens: 60,
  outputTokens: 8,
  sigma: 0.3,
  deadlineMs: 600,
};

const NOTE: WorkKind = {
  kind: 'note',
  weight: 30,
  promptTokens: 150,
  outputTokens: 20,
  sigma: 0.4,
  deadlineMs: 1_200,
};

/** Long work: many times longer than the rest. @public */
export const BRIEF: WorkKind = {
  kind: 'brief',
  weight: 2,
  promptTokens: 1_500,
  outputTokens: 200,
  sigma: 0.5,
  deadlineMs: 8_000,
};

const STATUS: WorkKind = {
  kind: 'status',
  weight: 5,
  promptTokens: 1,
  outputTokens: 1,
  sigma: 0,
  deadlineMs: 1_000,
  service: {name: 'orders', method: 'GET', path: '/orders', isRepeatable: true},
};

const DEPOSIT: WorkKind = {
  ...STATUS,
  kind: 'deposit',
  service: {
    name: 'orders',
    method: 'POST',
    path: '/deposits',
    isRepeatable: false,
  },
};

/** The mix without long work. @public */
export const SHORT_KINDS: readonly WorkKind[] = [PROOF, NOTE, STATUS, DEPOSIT];
/** The whole mix. @public */
export const ALL_KINDS: readonly WorkKind[] = [...SHORT_KINDS, BRIEF];

/** Mean tokens of a log-normal kind, given its median and sigma. */
function computeMeanTokens({outputTokens, sigma}: WorkKind): number {
  return outputTokens * Math.exp((sigma * sigma) / 2);
}

/**
 * Computes the arrivals a second at which a mix asks for a share of the engines' capacity.
 *
 * @example
 * ```ts
 * computeRate(ALL_KINDS, 0.5); // half the capacity
 * ```
 * @public
 */
export function computeRate(kinds: readonly WorkKind[], load: number): number {
  const totalWeight = kinds.reduce((sum, {weight}) => sum + weight, 0);
  const tokens = kinds
    .filter(({service}) => !service)
    .reduce((sum, kind) => sum + kind.weight * computeMeanTokens(kind), 0);
  const tokensPerArrival = tokens / totalWeight;
  return (load * CAPACITY_TOKENS_PER_MS * 1_000) / tokensPerArrival;
}

/** Returns a customer's key. @public */
export function createCustomerKey(customer: string): string {
  return `key-of-${customer}`;
}

/** Builds the release note of the scenario fleet. @public */
export function buildScenarioNote(): ReleaseNote {
  const customers = CUSTOMERS.map(
    ({customer, weight}) => `
    - customer: ${customer}
      keyHash: ${hashKey(createCustomerKey(customer))}
      models: [{model: inscription, versions: any}]
      services: [orders]
      weight: ${weight}
      limits: {requestsPerSecond: 1000, tokensPerSecond: 100000}
      qualityTarget: 0.7`,
  );
  return parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: inscription, version: v1, inputPrice: 1, outputPrice: 3, contextTokens: 131072, qualityPrior: 0.9}
  services:
    - service: orders
      calls:
        - {method: POST, path: /deposits, repeatable: false, priceMicros: 500}
        - {method: GET, path: /orders, repeatable: true, priceMicros: 0}
  customers:${customers.join('')}
`);
}
