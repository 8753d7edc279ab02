/** How models are chosen on routes that leave the choice to the router. @public */
export type ModelPolicy = 'cascade' | 'smallest' | 'largest';

/** Inputs to the choice of a model. @public */
export interface ModelChoiceInput {
  /** Model names, the smallest model first. */
  readonly models: readonly string[];
  /** The model whose answer was weak, if one has answered. */
  readonly previous: string | undefined;
  /** The confidence of that model in its answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** The load of the engines: 0 is idle; at 1 as much work waits as the target latency allows. */
  readonly pressure: number;
}

/**
 * A bound on confidence that falls as the load rises, so that larger models are used less often.
 */
interface ConfidenceBound {
  readonly idle: number;
  readonly full: number;
}

/**
 * The pressure up to which bounds stay at their idle value. Bursts on a quiet day reach it; 75% of
 * the choices on such a day are made below it.
 */
const USUAL_PRESSURE = 0.375;

/** An answer of lower confidence is requested again from a larger model; see platform-worth.md. */
const WEAK_BOUND: ConfidenceBound = {idle: 62, full: 48};
/**
 * Below this confidence the largest model is asked, and between this bound and WEAK_BOUND the
 * second largest.
 */
const LARGEST_BOUND: ConfidenceBound = {idle: 36, full: 24};

const CHOOSERS: Readonly<
  Record<ModelPolicy, (choice: ModelChoiceInput) => string | undefined>
> = {
  cascade: choice => chooseLarger(choice) ?? choice.models[0],
  smallest: ({models}) => models[0],
  largest: ({models}) => models.at(-1),
};

/**
 * Chooses the model for the next send of a request. While the engines are nearly full, the second
 * largest model takes requests that would otherwise go to the largest, since it needs a third of
 * the time.
 *
 * @example
 * ```ts
 * chooseModel('cascade', {models, previous: 'small', confidence: 5, pressure: 0}); // 'large'
 * ```
 * @public
 */
export function chooseModel(
  policy: ModelPolicy,
  choice: ModelChoiceInput,
): string | undefined {
  return CHOOSERS[policy](choice);
}

/**
 * Returns whether an answer of which no byte has been delivered should be requested again from a
 * larger model.
 *
 * @example
 * ```ts
 * isWorthEscalating('cascade', {models, previous: 'small', confidence: 90, pressure: 0}); // false
 * ```
 * @public
 */
export function isWorthEscalating(
  policy: ModelPolicy,
  {models, previous, confidence, pressure}: ModelChoiceInput,
): boolean {
  if (policy !== 'cascade' || confidence === undefined) return false;
  if (previous === undefined || previous === models.at(-1)) return false;
  return confidence < computeBound(WEAK_BOUND, pressure);
}

function chooseLarger(choice: ModelChoiceInput): string | undefined {
  const {models, previous, confidence = 0, pressure} = choice;
  if (previous === undefined) return undefined;
  const isNearlyGood = confidence >= computeBound(LARGEST_BOUND, pressure);
  const middle = models.at(-2);
  return isNearlyGood && middle !== previous ? middle : models.at(-1);
}

function computeBound({idle, full}: ConfidenceBound, pressure: number): number {
  const fraction = (pressure - USUAL_PRESSURE) / (1 - USUAL_PRESSURE);
  return idle + (full - idle) * Math.min(1, Math.max(0, fraction));
}
