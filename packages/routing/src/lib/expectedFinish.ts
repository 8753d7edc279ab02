/** The server policy that takes the earliest expected finish of a few candidates. */
import {SycamoreheadError} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import {AffinityTable} from './AffinityTable.js';
import type {ServerState} from './FleetView.js';
import type {RoutingContext} from './RoutingContext.js';
import type {Candidate, RoutedRequest, ServerPolicy} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

/** Candidates compared for each request. */
const CHOICES = 3;
/** Silence about an ejected server after which one short request probes it, in milliseconds. */
const PROBE_AFTER_MS = 2_000;
/** Time for reading one prompt token that no cache holds, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.05;
/** What another data centre adds, in milliseconds. */
const DISTANCE_MS = 2;
/** Weight of the running requests against the time between tokens, for a tie between idle servers. */
const CROWDING = 0.5;

/** Creates the policy. @internal */
export function createExpectedFinish(context: RoutingContext): ServerPolicy {
  const affinity = new AffinityTable();
  const probedAt = new Map<string, number>();

  function findProbe(states: readonly ServerState[]): ServerState | undefined {
    const now = performance.now();
    return states.find(({id, isEjected}) => {
      if (!isEjected) return false;
      const lastAt = probedAt.get(id) ?? -Infinity;
      const quietMs = Math.min(
        context.speeds.readMeasurementAgeMs(id),
        now - lastAt,
      );
      return quietMs > PROBE_AFTER_MS;
    });
  }

  /** Mean work left of a server's attempts, as far as this entry can tell. */
  function estimateMeanUnits(state: ServerState, work: WorkEstimate): number {
    if (state.ownCount === 0) return work.units;
    return context.tracker.sumRemaining(state.id) / state.ownCount;
  }

  function scoreServer(
    request: RoutedRequest,
    work: WorkEstimate,
    state: ServerState,
  ): number {
    const {server, slots, count, tokenMs} = state;
    const waiting = Math.max(0, count + 1 - slots);
    const waitMs =
      waiting > 0
        ? (waiting * estimateMeanUnits(state, work) * tokenMs) / slots
        : 0;
    const runMs = work.outputTokens * tokenMs;
    const crowdMs = (CROWDING * tokenMs * count) / slots;
    const isNear = server.announcement.dataCentre === context.dataCentre;
    const keys = [request.session, request.prefixKey];
    const isWarm = keys.some(key => key && affinity.find(key) === state.id);
    const prefillMs = isWarm ? 0 : request.promptTokens * PREFILL_MS_PER_TOKEN;
    return waitMs + runMs + crowdMs + prefillMs + (isNear ? 0 : DISTANCE_MS);
  }

  function checkOpen(
    state: ServerState,
    work: WorkEstimate,
    longShare: number,
  ): string | undefined {
    if (state.isEjected) return 'ejected';
    const longSlots = Math.max(1, Math.round(state.slots * longShare));
    if (work.isLong && state.long >= longSlots) return 'long_slots_taken';
    return undefined;
  }

  /** Share of the slots that long work may take. */
  function computeLongShare(states: readonly ServerState[]): number {
    const slots = states.reduce((sum, state) => sum + state.slots, 0);
    return context.reserve.computeLongSlots(slots) / slots;
  }

  /** A few servers by a hash of the request, so that entries do not all take the same one. */
  function sampleCandidates(
    request: RoutedRequest,
    states: readonly ServerState[],
  ): ServerState[] {
    const warm = new Set([
      affinity.find(request.session ?? ''),
      affinity.find(request.prefixKey),
    ]);
    const shuffled = [...states].sort(
      (left, right) =>
        computeHash(request.requestId + left.id) -
        computeHash(request.requestId + right.id),
    );
    return shuffled.filter(({id}, place) => place < CHOICES || warm.has(id));
  }

  function commit(request: RoutedRequest, state: ServerState): KnownServer {
    affinity.record(request.prefixKey, state.id);
    if (request.session) affinity.record(request.session, state.id);
    return state.server;
  }

  return {
    choose(request, servers) {
      if (servers.length === 0) {
        throw new SycamoreheadError(
          'no_backend_server',
          'no ready backend server has the version or service',
        );
      }
      const work = context.estimator.estimate(request);
      const states = context.view.describe(servers);
      const probe = work.isLong ? undefined : findProbe(states);
      if (probe) {
        probedAt.set(probe.id, performance.now());
        const candidates = [{name: probe.id, score: probe.tokenMs}];
        return {choice: probe.server, candidates, reason: 'probe'};
      }
      const longShare = computeLongShare(states);
      const open = states.filter(state => !checkOpen(state, work, longShare));
      // With every server ruled out, work goes where least long work stands.
      const pool = open.length > 0 ? open : listLeastLong(states);
      const sampled = sampleCandidates(request, pool);
      const scores = new Map(
        states.map(state => [state, scoreServer(request, work, state)]),
      );
      // In the order of the sample, so that equal servers are taken evenly.
      const best = sampled.reduce((left, right) =>
        scores.get(right)! < scores.get(left)! ? right : left,
      );
      const explain = (state: ServerState): Candidate => ({
        name: state.id,
        score: scores.get(state)!,
        ruledOut: sampled.includes(state)
          ? undefined
          : (checkOpen(state, work, longShare) ?? 'not_sampled'),
      });
      return {
        choice: commit(request, best),
        candidates: states.map(explain),
        reason: work.isLong ? 'earliest finish, long' : 'earliest finish',
      };
    },
  };
}

function listLeastLong(states: readonly ServerState[]): ServerState[] {
  const least = Math.min(...states.map(({long, slots}) => long / slots));
  return states.filter(({long, slots}) => long / slots <= least);
}

/** FNV-1a, 32 bits. */
function computeHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let place = 0; place < text.length; place++) {
    hash = Math.imul(hash ^ text.charCodeAt(place), 0x01000193);
  }
  // The last characters differ most, so their effect is spread over all bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
