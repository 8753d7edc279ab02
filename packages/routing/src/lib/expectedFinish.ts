/** The server policy that chooses the earliest expected finish among a few candidates. */
import {SycamoreheadError} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import {AffinityTable} from './AffinityTable.js';
import type {ServerState} from './FleetView.js';
import type {RoutingContext} from './RoutingContext.js';
import type {Candidate, RoutedRequest, ServerPolicy} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

/** The number of candidates sampled for each request. */
const SAMPLE_SIZE = 3;
/**
 * Time without a measurement of an ejected server after which one short request probes it, in
 * milliseconds.
 */
const PROBE_INTERVAL_MS = 2_000;
/** Prefill time of one prompt token that is not cached, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.05;
/** Latency that another data centre adds, in milliseconds. */
const DISTANCE_MS = 2;
/**
 * Cost of a server with all slots in use, as a multiple of its time between tokens; it breaks ties
 * between servers without a queue.
 */
const FULL_LOAD_FACTOR = 0.5;

/** Creates the `expected_finish` server policy. @internal */
export function createExpectedFinish(context: RoutingContext): ServerPolicy {
  const affinity = new AffinityTable();
  const probedAt = new Map<string, number>();

  function findProbe(states: readonly ServerState[]): ServerState | undefined {
    const now = performance.now();
    return states.find(({id, isEjected}) => {
      if (!isEjected) return false;
      const lastAt = probedAt.get(id) ?? -Infinity;
      const unmeasuredMs = Math.min(
        context.speeds.readMeasurementAgeMs(id),
        now - lastAt,
      );
      return unmeasuredMs > PROBE_INTERVAL_MS;
    });
  }

  /** Estimates the mean work left of a server's attempts from this entry's own attempts. */
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
    const loadMs = (FULL_LOAD_FACTOR * tokenMs * count) / slots;
    const isLocal = server.announcement.dataCentre === context.dataCentre;
    const keys = [request.session, request.prefixKey];
    const hasAffinity = keys.some(
      key => key && affinity.find(key) === state.id,
    );
    const prefillMs = hasAffinity
      ? 0
      : request.promptTokens * PREFILL_MS_PER_TOKEN;
    return waitMs + runMs + loadMs + prefillMs + (isLocal ? 0 : DISTANCE_MS);
  }

  function findExclusion(
    state: ServerState,
    work: WorkEstimate,
    longShare: number,
  ): string | undefined {
    if (state.isEjected) return 'ejected';
    const longSlots = Math.max(1, Math.round(state.slots * longShare));
    if (work.isLong && state.long >= longSlots) return 'long_slots_taken';
    return undefined;
  }

  /** Computes the share of the slots that long work may use. */
  function computeLongShare(states: readonly ServerState[]): number {
    const slots = states.reduce((sum, state) => sum + state.slots, 0);
    return context.reserve.computeLongSlots(slots) / slots;
  }

  /**
   * Samples a few servers by a hash of the request, so that entries do not all choose the same
   * one; servers with affinity are always included.
   */
  function sampleCandidates(
    request: RoutedRequest,
    states: readonly ServerState[],
  ): ServerState[] {
    const affinityServers = new Set([
      affinity.find(request.session ?? ''),
      affinity.find(request.prefixKey),
    ]);
    const shuffled = [...states].sort(
      (left, right) =>
        computeHash(request.requestId + left.id) -
        computeHash(request.requestId + right.id),
    );
    return shuffled.filter(
      ({id}, index) => index < SAMPLE_SIZE || affinityServers.has(id),
    );
  }

  function recordChoice(
    request: RoutedRequest,
    state: ServerState,
  ): KnownServer {
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
      const eligible = states.filter(
        state => !findExclusion(state, work, longShare),
      );
      // If every server is ruled out, the servers with the least long work are candidates.
      const pool = eligible.length > 0 ? eligible : listLeastLong(states);
      const sampled = sampleCandidates(request, pool);
      const scores = new Map(
        states.map(state => [state, scoreServer(request, work, state)]),
      );
      // Servers are compared in the order of the sample, so that equal ones are chosen evenly.
      const best = sampled.reduce((left, right) =>
        scores.get(right)! < scores.get(left)! ? right : left,
      );
      const describeCandidate = (state: ServerState): Candidate => ({
        name: state.id,
        score: scores.get(state)!,
        ruledOut: sampled.includes(state)
          ? undefined
          : (findExclusion(state, work, longShare) ?? 'not_sampled'),
      });
      return {
        choice: recordChoice(request, best),
        candidates: states.map(describeCandidate),
        reason: work.isLong ? 'earliest finish, long' : 'earliest finish',
      };
    },
  };
}

function listLeastLong(states: readonly ServerState[]): ServerState[] {
  const least = Math.min(...states.map(({long, slots}) => long / slots));
  return states.filter(({long, slots}) => long / slots <= least);
}

/** Computes a 32-bit FNV-1a hash with additional mixing. */
function computeHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // The texts differ mostly in their last characters; the mixing spreads the difference over all
  // bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}
