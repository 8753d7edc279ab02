import {computeLoadFraction} from './enginePressure.js';
import {estimateQuality} from './estimateQuality.js';

/** How models are chosen on routes that leave the choice to the router. @public */
export type ModelPolicy =
  'expected_value' | 'thresholds' | 'smallest' | 'largest';

/** A model that may answer a request. @public */
export interface ModelOption {
  readonly name: string;
  /** Price of this request's answer by the model. */
  readonly price: number;
  /** What the other requests lose by the time that it takes of an engine, in the unit of the prices. */
  readonly delayCost: number;
  /** How much more confident the model usually is than the one that answered last. */
  readonly gain: number;
  /** Whether its answer would begin later than the target latency. */
  readonly isLate: boolean;
}

/** Inputs to the choice of a model. @public */
export interface ModelChoiceInput {
  /** The models, the smallest one first. */
  readonly models: readonly ModelOption[];
  /** The model whose answer was weak, if one has answered. */
  readonly previous: string | undefined;
  /** The confidence of that model in its answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** The load of the engines: 0 is idle; at 1 as much work waits as the target latency allows. */
  readonly pressure: number;
  /** What a good answer to this request is worth, in the unit of the prices. */
  readonly answerValue: number;
}

/**
 * A bound on confidence that falls as the load rises, so that larger models are used less often.
 */
interface ConfidenceBound {
  readonly idle: number;
  readonly full: number;
}

/** Value of a good answer that begins late, as a fraction of that of one in time. */
const LATE_VALUE = 0.5;

/** By thresholds, an answer of lower confidence is requested again from a larger model. */
const WEAK_BOUND: ConfidenceBound = {idle: 62, full: 48};
/**
 * Below this confidence the largest model is asked, and between this bound and WEAK_BOUND the
 * second largest.
 */
const LARGEST_BOUND: ConfidenceBound = {idle: 36, full: 24};

interface PolicyHandlers {
  /** Chooses the model of the next send. */
  choose(choice: ModelChoiceInput): string | undefined;
  /** Returns whether to ask a larger model rather than accept the last answer. */
  isWeak(choice: ModelChoiceInput): boolean;
}

const POLICIES: Readonly<Record<ModelPolicy, PolicyHandlers>> = {
  expected_value: {
    choose: choice => (findBestLarger(choice) ?? findBySize(choice))?.name,
    isWeak: isLargerWorthMore,
  },
  thresholds: {
    choose: choice => chooseByThreshold(choice) ?? choice.models[0]?.name,
    isWeak: isBelowThreshold,
  },
  smallest: {choose: ({models}) => models[0]?.name, isWeak: () => false},
  largest: {choose: ({models}) => models.at(-1)?.name, isWeak: () => false},
};

/**
 * Chooses the model for the next send of a request: the smallest one first, then the larger model
 * whose expected value less its price and what it costs the other requests is highest. While engines are
 * loaded, the time that a larger model takes delays them all.
 *
 * @example
 * ```ts
 * chooseModel('expected_value', {...choice, previous: 'small', confidence: 5}); // 'large'
 * ```
 * @public
 */
export function chooseModel(
  policy: ModelPolicy,
  choice: ModelChoiceInput,
): string | undefined {
  return POLICIES[policy].choose(choice);
}

/**
 * Returns whether an answer of which no byte has been delivered should be requested again from a
 * larger model.
 *
 * @example
 * ```ts
 * isWorthEscalating('expected_value', {...choice, previous: 'small', confidence: 90}); // false
 * ```
 * @public
 */
export function isWorthEscalating(
  policy: ModelPolicy,
  choice: ModelChoiceInput,
): boolean {
  const {previous, confidence, models} = choice;
  if (previous === undefined || confidence === undefined) return false;
  if (previous === models.at(-1)?.name) return false;
  return POLICIES[policy].isWeak(choice);
}

/** Finds the smallest model for a first send, and the largest if no larger one is left. */
function findBySize({
  models,
  previous,
}: ModelChoiceInput): ModelOption | undefined {
  return previous === undefined ? models[0] : models.at(-1);
}

/** Finds the model above the one that answered last whose expected value less its costs is best. */
function findBestLarger(choice: ModelChoiceInput): ModelOption | undefined {
  const {models, previous} = choice;
  if (previous === undefined) return undefined;
  const index = models.findIndex(({name}) => name === previous);
  let best: ModelOption | undefined;
  for (const model of models.slice(index + 1)) {
    const isBetter =
      !best || computeSurplus(choice, model) > computeSurplus(choice, best);
    if (isBetter) best = model;
  }
  return best;
}

function isLargerWorthMore(choice: ModelChoiceInput): boolean {
  const best = findBestLarger(choice);
  if (!best) return false;
  const {answerValue, confidence = 0} = choice;
  const acceptedValue = answerValue * estimateQuality(confidence);
  return computeSurplus(choice, best) > acceptedValue;
}

/** Computes the expected value of a larger model's answer less its costs. */
function computeSurplus(
  {answerValue, confidence = 0}: ModelChoiceInput,
  {gain, price, delayCost, isLate}: ModelOption,
): number {
  const value = answerValue * (isLate ? LATE_VALUE : 1);
  return value * estimateQuality(confidence + gain) - price - delayCost;
}

function isBelowThreshold({
  confidence = 0,
  pressure,
}: ModelChoiceInput): boolean {
  return confidence < computeBound(WEAK_BOUND, pressure);
}

function chooseByThreshold(choice: ModelChoiceInput): string | undefined {
  const {models, previous, confidence = 0, pressure} = choice;
  if (previous === undefined) return undefined;
  const isNearlyGood = confidence >= computeBound(LARGEST_BOUND, pressure);
  const middle = models.at(-2)?.name;
  return isNearlyGood && middle !== previous ? middle : models.at(-1)?.name;
}

function computeBound({idle, full}: ConfidenceBound, pressure: number): number {
  return idle + (full - idle) * computeLoadFraction(pressure);
}
