import type {LinkTimeouts} from '@sycamorehead/wire';

/**
 * Links between instances some milliseconds apart; a silent one is replaced within a second.
 *
 * @internal
 */
export const FLEET_LINK_TIMEOUTS: LinkTimeouts = {
  heartbeatMs: 300,
  silenceTimeoutMs: 1_000,
  requestTimeoutMs: 1_000,
};
