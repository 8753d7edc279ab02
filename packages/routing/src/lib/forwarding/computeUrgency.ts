/** What a request that would be answered late gives way by, in levels of priority. */
const LATE_PENALTY = 1.5;
/** Behind all levels of priority, late or not: what a customer asks for beyond its share. */
const EXCESS_PENALTY = 11;
/** Before all levels of priority: kinds, sizes and sessions that are hardly served. */
const STARVED_BONUS = 10;
/** Number of the classes in which entries count waiting requests for each other. @public */
export const URGENCY_CLASSES = 12;

/** What the urgency of a request depends on. @public */
export interface UrgencyInput {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether its answer would begin too late even if it were sent now. */
  readonly isLate: boolean;
  /** Whether it exceeds its customer's share. */
  readonly isExcess: boolean;
  /** Whether its kind, size or session is served much less often than others. */
  readonly isStarved: boolean;
}

/**
 * Computes the urgency of a request when more requests compete than there are places; lower goes
 * first.
 *
 * @example
 * ```ts
 * computeUrgency({priority: 1, isLate: true, isExcess: false, isStarved: false}); // 2.5
 * ```
 * @public
 */
export function computeUrgency(input: UrgencyInput): number {
  const {priority, isLate, isExcess, isStarved} = input;
  const urgency = priority + (isLate ? LATE_PENALTY : 0);
  if (isExcess) return urgency + EXCESS_PENALTY;
  return isStarved ? urgency - STARVED_BONUS : urgency;
}

/**
 * Returns the class in which requests of an urgency are counted.
 *
 * @example
 * ```ts
 * classifyUrgency(2.5); // 3
 * ```
 * @public
 */
export function classifyUrgency(urgency: number): number {
  return Math.min(URGENCY_CLASSES - 1, Math.max(0, Math.ceil(urgency)));
}
