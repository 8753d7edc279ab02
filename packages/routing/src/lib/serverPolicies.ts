import {SycamoreheadError} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import {createExpectedFinish} from './expectedFinish.js';
import type {RoutingContext} from './RoutingContext.js';
import type {Decision, ServerPolicy} from './routingTypes.js';

function describeChoice(
  choice: KnownServer | undefined,
  servers: readonly KnownServer[],
  getScore: (server: KnownServer) => number,
  reason: string,
): Decision<KnownServer> {
  if (!choice) {
    throw new SycamoreheadError(
      'no_backend_server',
      'no ready backend server has the version or service',
    );
  }
  return {
    choice,
    candidates: servers.map(server => ({
      name: server.announcement.id,
      score: getScore(server),
    })),
    reason,
  };
}

/** Creates the baseline policy, which chooses the servers in turn. */
function createRoundRobin(): ServerPolicy {
  let turn = 0;
  return {
    choose(request, servers) {
      turn += 1;
      const choice = servers[turn % Math.max(servers.length, 1)];
      return describeChoice(choice, servers, () => 0, 'next in turn');
    },
  };
}

/**
 * Creates the policy that chooses the server with the fewest unfinished requests of this entry
 * per slot.
 */
function createLeastInFlight({inFlight}: RoutingContext): ServerPolicy {
  return {
    choose(request, servers) {
      const getScore = ({announcement}: KnownServer) =>
        inFlight.count(announcement.id) / announcement.slots;
      const ranked = [...servers].sort(
        (left, right) => getScore(left) - getScore(right),
      );
      return describeChoice(ranked[0], ranked, getScore, 'least in flight');
    },
  };
}

/** Server policies by name. @public */
export const SERVER_POLICIES = {
  round_robin: createRoundRobin,
  least_in_flight: createLeastInFlight,
  expected_finish: createExpectedFinish,
} as const satisfies Record<string, (context: RoutingContext) => ServerPolicy>;

/** Name of a server policy. @public */
export type ServerPolicyName = keyof typeof SERVER_POLICIES;
