import type {RateLimitNotice} from '@sycamorehead/routing';
import {
  ServerRegistration,
  buildIncarnationKey,
  evictOldest,
} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';

/** Maximum number of incarnations that are tracked. */
const MAX_INCARNATIONS = 20_000;
/** Minimum time between two lines on one incarnation, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

type Incarnation = Pick<ServerRegistration, 'id' | 'startedAtMs'>;

interface LimitState {
  /** Requests a second from all entries together; undefined if the server names no limit. */
  perSecond: number | undefined;
  loggedAt: number;
}

/**
 * Tracks the limits that backend servers name in their answers: the requests a second that they
 * accept from all entries together.
 *
 * @public
 */
export class ServerLimits {
  private readonly states = new Map<string, LimitState>();

  /** Records what an answer of a server says of its limit. */
  record(server: Incarnation, notice: RateLimitNotice): void {
    const key = buildIncarnationKey(server);
    const state = this.states.get(key);
    const perSecond = notice.type === 'named' ? notice.perSecond : undefined;
    if (state === undefined && notice.type === 'none') return;
    if (state?.perSecond === perSecond && notice.type !== 'malformed') return;
    this.logChange(key, notice, state);
  }

  private logChange(
    incarnation: string,
    notice: RateLimitNotice,
    state: LimitState = {perSecond: undefined, loggedAt: -Infinity},
  ): void {
    const now = performance.now();
    if (now - state.loggedAt >= LOG_INTERVAL_MS) {
      const malformed = notice.type === 'malformed' ? notice.text : undefined;
      const perSecond = notice.type === 'named' ? notice.perSecond : undefined;
      writeDecision('server_limit', {
        incarnation,
        per_second: perSecond,
        was: state.perSecond,
        malformed,
      });
      state.loggedAt = now;
    }
    if (notice.type === 'named') state.perSecond = notice.perSecond;
    if (notice.type === 'none') state.perSecond = undefined;
    this.states.set(incarnation, state);
    evictOldest(this.states, MAX_INCARNATIONS);
  }
}
