import {ReleaseNote, hashKey, parseReleaseNote} from '@sycamorehead/schema';
import type {CustomerLoad, WorkKind} from '../load/arrivals.js';

/** A customer in the experiments with versions. @internal */
export interface ScenarioCustomer extends CustomerLoad {
  readonly qualityTarget: number;
}

/** Ten customers, a few of them large, with sizes like those of the first users. @internal */
export const SCENARIO_CUSTOMERS: readonly ScenarioCustomer[] = [
  {customer: 'montevideo', weight: 4, qualityTarget: 0.9},
  {customer: 'salto', weight: 3, qualityTarget: 0.9},
  {customer: 'colonia', weight: 3, qualityTarget: 0.9},
  {customer: 'gifts-centre', weight: 1, qualityTarget: 0.8},
  {customer: 'gifts-port', weight: 1, qualityTarget: 0.8},
  {customer: 'weddings-east', weight: 2, qualityTarget: 0.85},
  {customer: 'weddings-river', weight: 1, qualityTarget: 0.85},
  {customer: 'family-sosa', weight: 1, qualityTarget: 0.75},
  {customer: 'family-pereyra', weight: 1, qualityTarget: 0.75},
  {customer: 'kiosk', weight: 1, qualityTarget: 0.75},
];

/** Kinds of work in the experiments with versions: short work and a few long briefs. @internal */
export const SCENARIO_KINDS: readonly WorkKind[] = [
  buildKind('proof', 4, 40, 8),
  buildKind('note', 3, 30, 10),
  buildKind('label', 2, 20, 5),
  buildKind('brief', 1, 400, 30),
];

/** Speed of the engines, high enough that no queue forms. @internal */
export const SCENARIO_SPEED = {
  slots: 32,
  stepMs: 2,
  stepMsPerJob: 0,
  prefillTokensPerMs: 200,
};

function buildKind(
  kind: string,
  weight: number,
  promptTokens: number,
  outputTokens: number,
): WorkKind {
  const sigma = 0.4;
  return {kind, weight, promptTokens, outputTokens, sigma, deadlineMs: 5_000};
}

/**
 * Returns the API key of a customer of the scenario.
 *
 * @example
 * ```ts
 * getScenarioKey('kiosk'); // 'key-kiosk'
 * ```
 * @internal
 */
export function getScenarioKey(customer: string): string {
  return `key-${customer}`;
}

/**
 * Builds the first release note of a scenario.
 *
 * @example
 * ```ts
 * buildScenarioNote(['{model: m, version: v1, …}']).add.versions.length; // 1
 * ```
 * @internal
 */
export function buildScenarioNote(versions: readonly string[]): ReleaseNote {
  const models = new Set(
    versions.map(line => /model: ([^,]+),/.exec(line)?.[1] ?? ''),
  );
  const permittedModels = [...models]
    .map(model => `{model: ${model}, versions: any}`)
    .join(', ');
  const customers = SCENARIO_CUSTOMERS.map(
    ({customer, weight, qualityTarget}) => `
    - customer: ${customer}
      keyHash: ${hashKey(getScenarioKey(customer))}
      models: [${permittedModels}]
      weight: ${weight}
      limits: {requestsPerSecond: 10000, tokensPerSecond: 1000000}
      qualityTarget: ${qualityTarget}`,
  );
  return parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
${versions.map(line => `    - ${line}`).join('\n')}
  customers:${customers.join('')}
`);
}

/** Builds a release note that rolls out v2 of the scenario's only model in place of v1. */
export function buildRolloutNote(step: {
  readonly share: number;
  readonly soakSeconds: number;
  readonly minRatings: number;
}): ReleaseNote {
  const {share, soakSeconds, minRatings} = step;
  return parseReleaseNote(`
number: 2
follows: 1
add:
  versions:
    - model: m
      version: v2
      inputPrice: 1
      outputPrice: 1
      contextTokens: 8192
      qualityPrior: 0.9
      rollout:
        replaces: v1
        steps: [{share: ${share}, soakSeconds: ${soakSeconds}}]
        guard: {minQuality: 0.8, maxErrorRate: 0.03, minRatings: ${minRatings}}
`);
}
