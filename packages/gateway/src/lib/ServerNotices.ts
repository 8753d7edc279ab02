import type {RateLimitNotice} from '@sycamorehead/routing';
import {
  ServerRegistration,
  buildIncarnationKey,
  getOrCreate,
} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';

/** What a backend server says of itself in the head of an answer. @public */
export interface ServerNotice {
  /** Whether the server is leaving. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests from this entry, in milliseconds. */
  readonly holdMs: number | undefined;
  /** The requests that it accepts from all entries together. */
  readonly limit: RateLimitNotice;
  /** Time for which it stays cold, in milliseconds; undefined if it did not say. */
  readonly coldMs?: number | undefined;
}

/** Incarnations that leave, as reported to other entries. @public */
export type LeavingIncarnations = readonly string[];

interface IncarnationState {
  /** When it was first known to leave, on the monotonic clock. */
  leavingAt: number | undefined;
  /** Whether this entry heard it from the server itself. */
  isFirstHand: boolean;
  /** The time until which nothing is sent to it, on the monotonic clock. */
  heldUntil: number;
  /** Whether it has not answered since its last hold. */
  isReturning: boolean;
}

/** Maximum number of incarnations that are tracked. */
const MAX_INCARNATIONS = 20_000;
/** Time for which other entries are told that a server leaves, in milliseconds. */
const REPORT_MS = 5_000;
/** Maximum prolongation of a hold, so that entries do not return together, as a fraction. */
const MAX_HOLD_SPREAD = 0.2;

type Incarnation = Pick<ServerRegistration, 'id' | 'startedAtMs'>;

/**
 * Tracks what backend servers say of themselves in their answers: that they leave, or that they
 * want no requests for a while. It is kept by incarnation, apart from the listings: a listing that
 * expires and returns must not bring back a server that leaves.
 *
 * @public
 */
export class ServerNotices {
  private readonly states = new Map<string, IncarnationState>();

  // Commands.

  /** Records a notice of a server; returns whether anything has changed. */
  record(
    server: Incarnation,
    {isLeaving, holdMs}: Pick<ServerNotice, 'isLeaving' | 'holdMs'>,
  ): boolean {
    const isNew =
      isLeaving && this.markLeaving(buildIncarnationKey(server), true);
    if (holdMs !== undefined) this.startHold(server, holdMs);
    return isNew || holdMs !== undefined;
  }

  /** Records that a server has answered, so that its hold is over. */
  recordAnswer(server: Incarnation): void {
    const state = this.states.get(buildIncarnationKey(server));
    if (!state || state.heldUntil > performance.now()) return;
    state.isReturning = false;
  }

  /** Records the incarnations that other entries know to leave. */
  addLeaving(keys: LeavingIncarnations): void {
    for (const key of keys) this.markLeaving(key, false);
  }

  // Queries.

  /** Returns whether a server leaves. */
  isLeaving(server: Incarnation): boolean {
    return this.findState(server)?.leavingAt !== undefined;
  }

  /** Returns how long a server still wants no requests, in milliseconds; 0 if it accepts them. */
  getHoldMs(server: Incarnation): number {
    const state = this.findState(server);
    if (!state) return 0;
    return Math.max(0, state.heldUntil - performance.now());
  }

  /** Returns whether a server has not answered since its hold; it gets one request at a time. */
  isReturning(server: Incarnation): boolean {
    return this.findState(server)?.isReturning ?? false;
  }

  /** Lists the incarnations that recently told this entry that they leave. */
  listLeaving(): LeavingIncarnations {
    const oldest = performance.now() - REPORT_MS;
    const keys: string[] = [];
    for (const [key, {leavingAt, isFirstHand}] of this.states) {
      const isRecent = leavingAt !== undefined && leavingAt >= oldest;
      if (isFirstHand && isRecent) keys.push(key);
    }
    return keys;
  }

  private findState(server: Incarnation): IncarnationState | undefined {
    // Each decision asks for all servers, and hardly ever has any of them said anything.
    if (this.states.size === 0) return undefined;
    return this.states.get(buildIncarnationKey(server));
  }

  private markLeaving(key: string, isFirstHand: boolean): boolean {
    const state = this.getState(key);
    if (state.leavingAt !== undefined) return false;
    state.leavingAt = performance.now();
    state.isFirstHand = isFirstHand;
    writeDecision('server_leaving', {incarnation: key, first: isFirstHand});
    return true;
  }

  private startHold(server: Incarnation, holdMs: number): void {
    const key = buildIncarnationKey(server);
    const state = this.getState(key);
    const spreadMs = holdMs * MAX_HOLD_SPREAD * Math.random();
    const until = performance.now() + holdMs + spreadMs;
    state.heldUntil = Math.max(state.heldUntil, until);
    state.isReturning = true;
    writeDecision('server_held', {
      incarnation: key,
      asked_ms: Math.round(holdMs),
      left_ms: Math.round(state.heldUntil - performance.now()),
    });
  }

  private getState(key: string): IncarnationState {
    return getOrCreate<string, IncarnationState>(
      this.states,
      key,
      MAX_INCARNATIONS,
      () => ({
        leavingAt: undefined,
        isFirstHand: false,
        heldUntil: 0,
        isReturning: false,
      }),
    );
  }
}
