import {
  SilenceTimeouts,
  computeHeadTimeouts,
  computeStallTimeouts,
} from '@sycamorehead/routing';
import type {ForwardContext} from './gatewayTypes.js';
import type {RequestTarget} from './resolveTarget.js';
import type {RunTracker} from './RunTracker.js';
import type {SendRecord} from './SendRecord.js';

/**
 * Computes how long the sends of one request may be silent.
 *
 * @internal
 */
export class SendTimeouts {
  constructor(
    private readonly context: ForwardContext,
    private readonly runs: RunTracker,
  ) {}

  /** Computes how long to wait for the head of the answer. */
  computeHead(
    {target, reservation, kind}: SendRecord,
    leftMs: number,
  ): SilenceTimeouts {
    const {pendingMs, othersPendingMs} = reservation.server;
    const {route, service} = target;
    const {placement, times} = this.context;
    return computeHeadTimeouts({
      isRepeatable: this.runs.isRepeatAllowedAfterSend(target),
      targetLatencyMs: route.targetLatencyMs,
      pressure: placement.measurePressure(service.name, route.targetLatencyMs),
      typicalMs: times.getTypicalMs(kind),
      pendingMs: pendingMs + othersPendingMs,
      leftMs,
    });
  }

  /** Computes how long an answer that has begun may stall. */
  computeStall(target: RequestTarget, leftMs: number): SilenceTimeouts {
    return computeStallTimeouts({
      isRepeatable: this.runs.isRepeatAllowed(target),
      longestPauseMs: target.route.longestPauseMs,
      leftMs,
    });
  }
}
