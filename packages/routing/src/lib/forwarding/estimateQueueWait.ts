const MS_PER_SECOND = 1_000;
/** Part of the places that a class of requests gets at least, however many more urgent ones come. */
const MIN_FRACTION = 0.1;
/** Places in a second below which too few were seen for an estimate. */
const MIN_PLACES_PER_SECOND = 0.5;

/** A queue, and the rate at which it moves. @public */
export interface QueueState {
  /** Requests that go before the one in question. */
  readonly ahead: number;
  /** Places that requests take, or that come free, in a second. */
  readonly placesPerSecond: number;
}

/** What the wait of a request depends on. @public */
export interface QueueWaitInput {
  /** At this entry. */
  readonly own: QueueState;
  /** At all entries together. */
  readonly pooled: QueueState;
  /** Part of the places that more urgent requests take. */
  readonly overtakenFraction: number;
}

/**
 * Estimates how long a request has to wait for a place, in milliseconds; undefined if too little is
 * known. The lower one of the estimates by this entry and by all entries holds: a request is refused
 * only if both say that it can't be served in time.
 *
 * @example
 * ```ts
 * estimateQueueWait({
 *   own: {ahead: 3, placesPerSecond: 4},
 *   pooled: {ahead: 20, placesPerSecond: 200},
 *   overtakenFraction: 0.5,
 * }); // 200
 * ```
 * @public
 */
export function estimateQueueWait(input: QueueWaitInput): number | undefined {
  const {own, pooled, overtakenFraction} = input;
  const fraction = Math.max(MIN_FRACTION, 1 - overtakenFraction);
  const waits = [own, pooled]
    .filter(({placesPerSecond}) => placesPerSecond >= MIN_PLACES_PER_SECOND)
    .map(({ahead, placesPerSecond}) =>
      // The first one waits for nobody.
      ahead === 0 ? 0 : (ahead * MS_PER_SECOND) / (placesPerSecond * fraction),
    );
  return waits.length > 0 ? Math.min(...waits) : undefined;
}
