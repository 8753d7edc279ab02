import type {LinkTimeouts} from '@sycamorehead/wire';

/**
 * Timeouts of links with a latency of a few milliseconds; a silent link is replaced in a second.
 *
 * @internal
 */
export const FLEET_LINK_TIMEOUTS: LinkTimeouts = {
  heartbeatMs: 300,
  silenceTimeoutMs: 1_000,
  requestTimeoutMs: 1_000,
};
