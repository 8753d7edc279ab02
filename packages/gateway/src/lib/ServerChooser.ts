import {
  ForwardPolicy,
  PreferredServers,
  PrefillRates,
  choosePreferredServers,
  sampleServers,
  scoreServer,
} from '@sycamorehead/routing';
import {AnswerTimes, buildWorkKind} from './AnswerTimes.js';
import type {PromptSegment} from './CallerRequest.js';
import type {PlacementRequest} from './Placement.js';
import type {KnownServer, ServerTable} from './ServerTable.js';

/**
 * Fraction of the tokens of shared segments that a server is assumed to have cached because of
 * sends of other entries, by the preference of the entries for it.
 */
const CACHED_FRACTIONS = {first: 0.9, second: 0.5, none: 0} as const;
/** Time after its last use for which a prompt segment counts as cached, in milliseconds. */
const SEGMENT_CACHED_MS = 30_000;

/** Settings of a ServerChooser. @internal */
export interface ServerChooserOptions {
  readonly servers: ServerTable;
  readonly rates: PrefillRates;
  readonly times: AnswerTimes;
  readonly policy: ForwardPolicy;
  readonly dataCentre: string;
  /** Returns the number of entries that choose among the servers. */
  countEntries(): number;
}

/** The preference of the entries for a server, by the shared segments of a prompt. */
type Preference = keyof typeof CACHED_FRACTIONS;

/** The server chosen for a request, and the work that the request brings. @internal */
export interface ServerChoice {
  readonly server: KnownServer;
  readonly tokensToPrefill: number;
  readonly ownMs: number;
  /** Time until the answer begins if no other request waits; undefined if unknown. */
  readonly aloneMs: number | undefined;
  readonly score: number;
}

/**
 * Chooses the backend server of a request among those that are available.
 *
 * @internal
 */
export class ServerChooser {
  constructor(private readonly options: ServerChooserOptions) {}

  /** Returns the best of the usable servers; undefined if there is none. */
  choose(
    demand: PlacementRequest,
    usable: readonly KnownServer[],
  ): ServerChoice | undefined {
    const preferred = choosePreferred(demand, usable);
    const {policy, dataCentre, servers} = this.options;
    const sample = new Set(
      sampleServers(usable, {
        policy,
        entries: this.options.countEntries(),
        isNear: ({listing}) => listing.registration.dataCentre === dataCentre,
      }),
    );
    for (const server of usable) {
      const isPreferred = getPreference(preferred, server) !== 'none';
      const {registration} = server.listing;
      // A permit expires soon.
      const isPermitNeeded =
        servers.limits.isLimited(registration) ||
        servers.cold.isCold(registration);
      if (isPreferred || isPermitNeeded) {
        sample.add(server);
      }
    }
    let best: ServerChoice | undefined;
    for (const server of sample) {
      const choice = this.rateServer(
        demand,
        server,
        getPreference(preferred, server),
      );
      const isBetter =
        !best ||
        choice.score < best.score ||
        (choice.score === best.score && Math.random() < 0.5);
      if (isBetter) best = choice;
    }
    return best;
  }

  private rateServer(
    demand: PlacementRequest,
    server: KnownServer,
    preference: Preference,
  ): ServerChoice {
    const {request, model, service, route} = demand;
    const {policy, dataCentre, rates, times} = this.options;
    const {registration, isSilent} = server.listing;
    const cached = countCachedTokens(
      server,
      model ?? '',
      request.promptSegments,
      CACHED_FRACTIONS[preference],
    );
    const tokensToPrefill = Math.max(0, request.size.promptTokens - cached);
    const typicalMs = times.getTypicalMs(buildWorkKind(route, model));
    const ownMs = service.engine
      ? rates.estimateMs(model ?? '', tokensToPrefill)
      : (typicalMs ?? 0) / Math.max(1, registration.slots);
    const aloneMs = service.engine
      ? rates.estimateFixedMs(model ?? '') + ownMs
      : typicalMs;
    const pendingMs = server.pendingMs + server.othersPendingMs;
    const score = scoreServer(policy, {
      load: server.inFlight + server.othersInFlight,
      slots: registration.slots,
      pendingMs,
      ownMs,
      isSameDataCentre: registration.dataCentre === dataCentre,
      isSilent,
      slowness: server.slowness,
    });
    return {server, tokensToPrefill, ownMs, aloneMs, score};
  }
}

/** Chooses the servers that every entry prefers for the last shared segment of the prompt. */
function choosePreferred(
  {request, model}: PlacementRequest,
  servers: readonly KnownServer[],
): PreferredServers | undefined {
  // The last segment belongs to this request only.
  const shared = request.promptSegments.at(-2);
  if (!shared) return undefined;
  const ids = servers.map(({listing}) => listing.registration.id);
  return choosePreferredServers(`${model ?? ''} ${shared.id}`, ids);
}

function getPreference(
  preferred: PreferredServers | undefined,
  {listing}: KnownServer,
): Preference {
  const {id} = listing.registration;
  if (id === preferred?.first) return 'first';
  return id === preferred?.second ? 'second' : 'none';
}

/**
 * Estimates the prompt tokens that a server probably has cached for a model: those of the leading
 * segments that this entry sent there recently and, on a preferred server, a fraction of those of
 * the other shared segments, which other entries send there.
 */
function countCachedTokens(
  server: KnownServer,
  model: string,
  segments: readonly PromptSegment[],
  sharedFraction: number,
): number {
  const oldest = performance.now() - SEGMENT_CACHED_MS;
  let tokens = 0;
  let isSent = true;
  segments.forEach((segment, index) => {
    const usedAt = server.cachedSegments.get(`${model} ${segment.id}`);
    isSent &&= usedAt !== undefined && usedAt >= oldest;
    const isShared = index < segments.length - 1;
    if (isSent) tokens += segment.tokens;
    else if (isShared) tokens += segment.tokens * sharedFraction;
  });
  return tokens;
}
