import {SycamoreheadError} from '@sycamorehead/schema';

/** Why a request got no place. @public */
export type QueueRefusalReason =
  'expired' | 'hopeless' | 'displaced' | 'outpaced';

const MESSAGES: Readonly<Record<QueueRefusalReason, string>> = {
  expired: 'no place came free in time',
  hopeless: 'no place will come free in time',
  displaced: 'too many requests wait',
  outpaced: 'more urgent requests take the places',
};

/**
 * The refusal of a request that was not sent, for want of a place.
 *
 * @example
 * ```ts
 * new QueueRefusal('hopeless', 800).ran; // 'no'
 * ```
 * @public
 */
export class QueueRefusal extends SycamoreheadError {
  constructor(
    /** `hopeless` on arrival, `outpaced` while it waited, `displaced` from a full queue. */
    readonly reason: QueueRefusalReason,
    retryAfterMs: number,
  ) {
    super('overloaded', MESSAGES[reason], {ran: 'no', retryAfterMs});
  }
}
