/** How models are chosen on routes that leave the choice to the router. @public */
export type ModelPolicy = 'cascade' | 'smallest' | 'largest';

/** What the choice of a model knows. @public */
export interface ModelChoiceInput {
  /** Names, smallest first. */
  readonly models: readonly string[];
  /** The model whose answer was weak, if one has answered. */
  readonly previous: string | undefined;
  /** That model's opinion of its answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** How full the engines are: 0 idle, 1 as much waits as the target latency bears. */
  readonly pressure: number;
}

/** A bound on confidence that falls as the engines fill, so that larger models are asked less. */
interface ConfidenceBound {
  readonly idle: number;
  readonly full: number;
}

/** Pressure that the bursts of a quiet day reach; 75 of 100 choices there see less. */
const USUAL_PRESSURE = 0.375;

/** Below it an answer is asked for again; from measured rounds, see platform-worth.md. */
const WEAK_BOUND: ConfidenceBound = {idle: 62, full: 48};
/** Below it the largest model is asked, between the two the one before it. */
const LARGEST_BOUND: ConfidenceBound = {idle: 36, full: 24};

const CHOOSERS: Readonly<
  Record<ModelPolicy, (choice: ModelChoiceInput) => string | undefined>
> = {
  cascade: choice => chooseLarger(choice) ?? choice.models[0],
  smallest: ({models}) => models[0],
  largest: ({models}) => models.at(-1),
};

/**
 * Chooses the model for the next send of a request. Answers the load pattern of a pool that is
 * nearly full: there the middle model takes what the largest would, in a third of the time.
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
 * Tells whether an answer that no byte has been delivered of is worth asking a larger model.
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
  const part = (pressure - USUAL_PRESSURE) / (1 - USUAL_PRESSURE);
  return idle + (full - idle) * Math.min(1, Math.max(0, part));
}
