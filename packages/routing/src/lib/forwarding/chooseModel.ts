/** How models are chosen on routes that leave the choice to the router. @public */
export type ModelPolicy = 'cascade' | 'smallest' | 'largest';

/** What the choice of a model knows. @public */
export interface ModelChoice {
  /** Names, smallest first. */
  readonly models: readonly string[];
  /** The model that answered last, if one did. */
  readonly previous: string | undefined;
}

/** Confidence, of 100, below which an answer is asked for again of a larger model. */
export const MIN_CONFIDENCE = 50;

const CHOOSERS: Readonly<
  Record<ModelPolicy, (choice: ModelChoice) => string | undefined>
> = {
  cascade: ({models, previous}) =>
    previous === undefined ? models[0] : models.at(-1),
  smallest: ({models}) => models[0],
  largest: ({models}) => models.at(-1),
};

/**
 * Chooses the model for the next send of a request.
 *
 * @example
 * ```ts
 * chooseModel('cascade', {models: ['s', 'm', 'l'], previous: 's'}); // 'l'
 * ```
 * @public
 */
export function chooseModel(
  policy: ModelPolicy,
  choice: ModelChoice,
): string | undefined {
  return CHOOSERS[policy](choice);
}

/**
 * Tells whether an answer that no byte has been delivered of is worth asking a larger model.
 *
 * @example
 * ```ts
 * isWorthEscalating('cascade', {models: ['s', 'l'], previous: 's'}, 20); // true
 * ```
 * @public
 */
export function isWorthEscalating(
  policy: ModelPolicy,
  {models, previous}: ModelChoice,
  confidence: number | undefined,
): boolean {
  if (policy !== 'cascade' || confidence === undefined) return false;
  if (previous === undefined || previous === models.at(-1)) return false;
  return confidence < MIN_CONFIDENCE;
}
