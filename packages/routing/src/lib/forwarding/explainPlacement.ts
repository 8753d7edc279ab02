import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import type {PlacementQueue, QueueNote, WaitingWork} from './PlacementQueue.js';

/**
 * Why a request would wait: no server takes it now, others of its kind wait and go first, or places are
 * left to more urgent requests of other entries.
 *
 * @public
 */
export type WaitReason = 'no_place' | 'turn_of_others' | 'left_to_others';

/** What would become of a request now. @public */
export type ExplainedPlacement<Slot> =
  | {readonly type: 'placed'; readonly slot: Slot}
  | {
      readonly type: 'waits';
      readonly reason: WaitReason;
      readonly note: QueueNote;
    }
  | {readonly type: 'refused'; readonly error: SycamoreheadError};

/** A request in question. @public */
export type QuestionedWork<Slot> = Omit<
  WaitingWork<Slot>,
  'signal' | 'onQueued'
>;

/**
 * Explains what a queue would do with a request now. A copy of the queue is asked, so that nothing is
 * recorded, reserved or drawn in the queue itself; `tryReserveSlot` must reserve nothing.
 *
 * @example
 * ```ts
 * (await explainPlacement(queue, work)).type; // 'waits'
 * ```
 * @public
 */
export async function explainPlacement<Slot>(
  queue: PlacementQueue,
  work: QuestionedWork<Slot>,
): Promise<ExplainedPlacement<Slot>> {
  const copy = queue.copy();
  const controller = new AbortController();
  let note: QueueNote | undefined;
  let isTried = false;
  const asked = copy.acquire<Slot>({
    ...work,
    signal: controller.signal,
    onQueued: begun => (note = begun),
    tryReserveSlot: () => {
      isTried = true;
      return work.tryReserveSlot();
    },
  });
  controller.abort();
  copy.stop();
  try {
    return {type: 'placed', slot: await asked};
  } catch (error) {
    if (note === undefined) {
      return {type: 'refused', error: toSycamoreheadError(error)};
    }
    const reason = findWaitReason(isTried, copy.isYielding);
    return {type: 'waits', reason, note};
  }
}

function findWaitReason(isTried: boolean, isYielding: boolean): WaitReason {
  if (isTried) return 'no_place';
  return isYielding ? 'left_to_others' : 'turn_of_others';
}
