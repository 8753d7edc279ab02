import {
  ForwardPolicy,
  KeptPrompt,
  PreferredServers,
  PrefillRates,
  ServerCandidate,
  buildKeptPrompt,
  choosePreferredServers,
  countNeededTokens,
  countSampled,
  sampleServers,
  scoreServer,
} from '@sycamorehead/routing';
import {AnswerTimes, buildWorkKind} from './AnswerTimes.js';
import type {PlacementRequest} from './Placement.js';
import type {KnownServer} from './KnownServer.js';
import type {ServerTable} from './ServerTable.js';

/**
 * Fraction of the tokens of shared segments that a server is assumed to have kept because of
 * sends of other entries, by the preference of the entries for it.
 */
const KEPT_FRACTIONS = {first: 0.9, second: 0.5, none: 0} as const;

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

/** What the rating of all servers for a request has in common. */
interface PromptCost extends KeptPrompt {
  readonly tokens: number;
  /** Tokens that the request needs in memory to its end. */
  readonly neededTokens: number;
  /** Tokens in the memory of each server; 0 if unknown. */
  readonly capacity: number;
  readonly isEngine: boolean;
  readonly msPerToken: number;
  readonly fixedMs: number;
  /** Answer time of such requests; undefined before the first answer. */
  readonly typicalMs: number | undefined;
  /** Time left until the latency objective, without the fixed time. */
  readonly objectiveMs: number | undefined;
  readonly now: number;
}

/** The preference of the entries for a server, by the shared segments of a prompt. */
type Preference = keyof typeof KEPT_FRACTIONS;

/** The server chosen for a request, and the work that the request brings. @internal */
export interface ServerChoice {
  readonly server: KnownServer;
  readonly tokensToPrefill: number;
  readonly ownMs: number;
  /** Time until the answer begins if no other request waits; undefined if unknown. */
  readonly aloneMs: number | undefined;
  /** Prompt tokens that the server is believed to have kept. */
  readonly keptTokens: number;
  /** Reading time that they save there, in milliseconds. */
  readonly savedMs: number;
  /** What the score rests on. */
  readonly candidate: ServerCandidate;
  readonly score: number;
}

/** How the server of a request is chosen among those usable. @internal */
export interface ExplainedChoice {
  /** All usable servers, the best first. */
  readonly choices: readonly ServerChoice[];
  /** Number of servers that are drawn at random to be compared; all of them if there are no more. */
  readonly drawn: number;
  /** Servers that are compared even if they are not drawn. */
  readonly alwaysCompared: ReadonlySet<KnownServer>;
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
    const {policy, dataCentre} = this.options;
    const sample = new Set(
      sampleServers(usable, {
        policy,
        entries: this.options.countEntries(),
        isNear: ({listing}) => listing.registration.dataCentre === dataCentre,
      }),
    );
    for (const server of usable) {
      if (this.isAlwaysCompared(preferred, server)) sample.add(server);
    }
    const prompt = this.describePrompt(demand);
    let best: ServerChoice | undefined;
    for (const server of sample) {
      const choice = this.rateServer(
        prompt,
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

  /**
   * Rates all usable servers for a request, the best first, and tells how many of them `choose` compares.
   * Nothing is drawn or changed.
   */
  explain(
    demand: PlacementRequest,
    usable: readonly KnownServer[],
  ): ExplainedChoice {
    const preferred = choosePreferred(demand, usable);
    const {policy} = this.options;
    const entries = this.options.countEntries();
    const prompt = this.describePrompt(demand);
    const choices = usable
      .map(server =>
        this.rateServer(prompt, server, getPreference(preferred, server)),
      )
      .sort((first, second) => first.score - second.score);
    return {
      choices,
      drawn: countSampled(usable.length, {policy, entries}),
      alwaysCompared: new Set(
        usable.filter(server => this.isAlwaysCompared(preferred, server)),
      ),
    };
  }

  /** Returns whether a server is compared even if it is not drawn. */
  private isAlwaysCompared(
    preferred: PreferredServers | undefined,
    server: KnownServer,
  ): boolean {
    const {limits, cold} = this.options.servers;
    const {registration} = server.listing;
    return (
      getPreference(preferred, server) !== 'none' ||
      // A permit expires soon.
      limits.isLimited(registration) ||
      cold.isCold(registration)
    );
  }

  private rateServer(
    prompt: PromptCost,
    server: KnownServer,
    preference: Preference,
  ): ServerChoice {
    const {policy, dataCentre} = this.options;
    const {registration, isSilent} = server.listing;
    const {kept} = server.memory;
    // The memory that the request itself needs is no longer left to kept prompts.
    const room =
      server.memory.countRoom(prompt.capacity, prompt.now) -
      prompt.neededTokens;
    const keptTokens = Math.min(
      prompt.tokens,
      kept.countKept(prompt, KEPT_FRACTIONS[preference], room, prompt.now),
    );
    const tokensToPrefill = prompt.tokens - keptTokens;
    const {isEngine, msPerToken, fixedMs, typicalMs} = prompt;
    const ownMs = isEngine
      ? tokensToPrefill * msPerToken
      : (typicalMs ?? 0) / Math.max(1, registration.slots);
    const slowness =
      prompt.capacity > 0 ? server.pace.slowness : server.slowness.value;
    const candidate = {
      load: server.inFlight + server.othersInFlight,
      slots: registration.slots,
      pendingMs: server.pendingMs + server.othersPendingMs,
      ownMs,
      isSameDataCentre: registration.dataCentre === dataCentre,
      isSilent,
      slowness,
      displacedMs: isEngine ? ownMs * kept.estimateDisplacement(room) : 0,
      objectiveMs: prompt.objectiveMs,
    };
    return {
      server,
      candidate,
      tokensToPrefill,
      ownMs,
      aloneMs: isEngine ? fixedMs + ownMs : typicalMs,
      keptTokens,
      savedMs: isEngine ? keptTokens * msPerToken * slowness : 0,
      score: scoreServer(policy, candidate),
    };
  }

  /** Determines what the rating of all servers has in common. */
  private describePrompt(demand: PlacementRequest): PromptCost {
    const {request, service, route, objectiveAt} = demand;
    const {rates, times} = this.options;
    const {engine} = service;
    const model = demand.model ?? '';
    const now = performance.now();
    const fixedMs = rates.estimateFixedMs(model);
    return {
      ...buildKeptPrompt(model, request.promptSegments),
      tokens: request.size.promptTokens,
      neededTokens: countNeededTokens(request.size),
      capacity: engine?.tokenCapacity ?? 0,
      isEngine: engine !== undefined,
      msPerToken: rates.estimateMs(model, 1),
      fixedMs,
      typicalMs: times.getTypicalMs(buildWorkKind(route, demand.model)),
      objectiveMs:
        engine && objectiveAt !== undefined
          ? objectiveAt - now - fixedMs
          : undefined,
      now,
    };
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
