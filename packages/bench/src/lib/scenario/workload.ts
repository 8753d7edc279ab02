/**
 * Workload and deployment size of the first users, for the experiments on server selection and
 * admission. The engines generate tokens about five times faster than an engine with 60 ms between
 * tokens.
 *
 * @public
 */
import {ReleaseNote, hashKey, parseReleaseNote} from '@sycamorehead/schema';
import type {EngineSpeed} from '@sycamorehead/stand-ins';
import type {CustomerLoad, WorkKind} from '../load/arrivals.js';

/** Number of entries of the scenario fleet. @public */
export const ENTRY_COUNT = 8;
/** Number of engines of the scenario fleet. @public */
export const ENGINE_COUNT = 8;
/** Number of replicas of the plain service. @public */
export const SERVICE_COUNT = 3;

/** Speed of each engine. @public */
export const ENGINE_SPEED: EngineSpeed = {
  slots: 6,
  stepMs: 11,
  stepMsPerJob: 0.2,
  prefillTokensPerMs: 20,
};

/** Tokens per millisecond that all engines together generate with every slot in use. @public */
export const CAPACITY_TOKENS_PER_MS =
  (ENGINE_COUNT * ENGINE_SPEED.slots) /
  (ENGINE_SPEED.stepMs + (ENGINE_SPEED.slots - 1) * ENGINE_SPEED.stepMsPerJob);

/** Customers and their shares of the arrivals; a few large customers dominate. @public */
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

/** Long requests, whose prompts and answers are many times longer than the others. @public */
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

/** The workload mix without long requests. @public */
export const SHORT_KINDS: readonly WorkKind[] = [PROOF, NOTE, STATUS, DEPOSIT];
/** The complete workload mix. @public */
export const ALL_KINDS: readonly WorkKind[] = [...SHORT_KINDS, BRIEF];

/** Computes the mean output tokens of a kind from its log-normal median and sigma. */
function computeMeanTokens({outputTokens, sigma}: WorkKind): number {
  return outputTokens * Math.exp((sigma * sigma) / 2);
}

/**
 * Computes the arrivals per second at which a workload mix uses a share of the engines' capacity.
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

/** Returns the API key of a customer. @public */
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
