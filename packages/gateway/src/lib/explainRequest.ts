import type {
  ExplainedOutcome,
  ExplainedServer,
  RequestExplanation,
  ServerObstacle,
} from '@sycamorehead/fleet';
import {computeScoreTerms} from '@sycamorehead/routing';
import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {buildDemand, computeDeadline} from './buildDemand.js';
import type {CallerRequest} from './CallerRequest.js';
import {CrashGuard} from './CrashGuard.js';
import {decodeQuestion} from './decodeQuestion.js';
import type {ExplainedSlot} from './explainSlot.js';
import type {ForwardContext} from './gatewayTypes.js';
import type {KnownServer} from './KnownServer.js';
import {ModelCascade} from './ModelCascade.js';
import {buildPaceRefusal, replaceUnsafeRefusal} from './refusals.js';
import {RequestTarget, resolveTarget} from './resolveTarget.js';
import {RunTracker} from './RunTracker.js';
import type {ServerChoice} from './ServerChooser.js';

/** The entry that explains. @internal */
export interface ExplainingEntry {
  readonly name: string;
  readonly dataCentre: string;
  isReady(): boolean;
}

/** What is known of a server beside its load. */
interface ServerView {
  readonly obstacle?: ServerObstacle;
  readonly choice?: ServerChoice;
  readonly isAlwaysCompared?: boolean;
}

/**
 * Explains where a request would go now, and why, by the decisions of `ForwardedRequest` and its
 * `SendPlanner` on a first send. Nothing is reserved, recorded or drawn, and no key is told.
 *
 * @throws SycamoreheadError if the question is malformed, or the configuration knows no such request.
 * @example
 * ```ts
 * const {outcome} = await explainRequest(context, entry, {host: 'shop.example', target: '/drafts/1'});
 * ```
 * @internal
 */
export async function explainRequest(
  context: ForwardContext,
  entry: ExplainingEntry,
  question: unknown,
): Promise<RequestExplanation> {
  const routes = context.getRoutes();
  const {request, limit} = decodeQuestion(question, routes);
  const target = resolveTarget(routes, request);
  const {route, service, customer, priority} = target;
  const model = new ModelCascade(context, request).findNext(target);
  const variant = context.versions.findVariant(
    service.name,
    request.session,
    request.id,
  );
  const deadlineAt = computeDeadline(request, target);
  const slot = await context.placement.explain(
    buildDemand(context, {
      request,
      target,
      variant,
      model,
      tried: new Set(),
      deadlineAt,
      isBegun: false,
      signal: new AbortController().signal,
    }),
  );
  const refusedShare = context.monitor.computeRefusedShare(
    route.targetLatencyMs,
  );
  const refusal = findRefusal(context, request, target, refusedShare);
  const {choices, drawn} = slot.choice;
  const servers = describeServers(context, target, slot, limit);
  return {
    entry: entry.name,
    dataCentre: entry.dataCentre,
    isReady: entry.isReady(),
    configuration: routes?.version ?? 0,
    requestId: request.id,
    route: route.name,
    service: service.name,
    customer,
    priority,
    model,
    variant,
    refusedShare,
    deadlineMs: Math.round(deadlineAt - performance.now()),
    waiting: context.placement.countWaiting(service.name),
    outcome: refusal
      ? describeRefusal(refusal)
      : describeOutcome(slot, refusedShare),
    usable: choices.length,
    drawn,
    ruledOut: countObstacles(slot.obstacles),
    servers,
    unlisted: choices.length + slot.obstacles.size - servers.length,
  };
}

/** Finds the refusal of a request before it takes its turn. */
function findRefusal(
  context: ForwardContext,
  request: CallerRequest,
  target: RequestTarget,
  refusedShare: number,
): SycamoreheadError | undefined {
  if (refusedShare >= 1) return buildPaceRefusal();
  const runs = new RunTracker(context.budgets, {isBegun: false});
  try {
    new CrashGuard(context, request, runs).checkSend(target);
    return undefined;
  } catch (error) {
    return toSycamoreheadError(error);
  }
}

function describeOutcome(
  {placement, isCertain, abandonAt}: ExplainedSlot,
  refusedShare: number,
): ExplainedOutcome {
  switch (placement.type) {
    case 'placed': {
      const {id} = placement.slot.server.listing.registration;
      const isTaken = refusedShare <= 0;
      return {type: 'sent', server: id, isCertain: isCertain && isTaken};
    }
    case 'waits': {
      const {reason, note} = placement;
      const abandonMs = (abandonAt ?? 0) - performance.now();
      return {
        type: 'waits',
        reason,
        ahead: note.ahead,
        expectedMs: note.expectedMs,
        abandonMs: Math.round(abandonMs),
      };
    }
    case 'refused':
      return describeRefusal(placement.error);
  }
}

/** Describes a refusal as the caller gets it. */
function describeRefusal(error: SycamoreheadError): ExplainedOutcome {
  return {type: 'refused', error: replaceUnsafeRefusal(error, false).toBody()};
}

function countObstacles(
  obstacles: ExplainedSlot['obstacles'],
): RequestExplanation['ruledOut'] {
  const counts: Partial<Record<ServerObstacle, number>> = {};
  for (const obstacle of obstacles.values()) {
    counts[obstacle] = (counts[obstacle] ?? 0) + 1;
  }
  return counts;
}

/** Describes the servers that may get a request, the best first, then those that are ruled out. */
function describeServers(
  context: ForwardContext,
  target: RequestTarget,
  {choice, obstacles}: ExplainedSlot,
  limit: number,
): ExplainedServer[] {
  const usable = choice.choices.slice(0, limit).map(rated =>
    describeServer(context, target, rated.server, {
      choice: rated,
      isAlwaysCompared: choice.alwaysCompared.has(rated.server),
    }),
  );
  const others = [...obstacles]
    .slice(0, limit - usable.length)
    .map(([server, obstacle]) =>
      describeServer(context, target, server, {obstacle}),
    );
  return [...usable, ...others];
}

function describeServer(
  {servers, policies}: ForwardContext,
  {service}: RequestTarget,
  server: KnownServer,
  {obstacle, choice, isAlwaysCompared}: ServerView,
): ExplainedServer {
  const {registration} = server.listing;
  const now = performance.now();
  const room = server.memory.countRoom(service.engine?.tokenCapacity ?? 0, now);
  const limitPerSecond = servers.limits.getPerSecond(registration);
  const pauseMs = servers.notices.getHoldMs(registration);
  const ejectedMs = server.ejectedUntil - now;
  return {
    server: registration.id,
    dataCentre: registration.dataCentre,
    version: registration.version,
    ...(obstacle && {obstacle}),
    inFlight: server.inFlight,
    othersInFlight: server.othersInFlight,
    slots: registration.slots,
    pendingMs: Math.round(server.pendingMs + server.othersPendingMs),
    ...(room !== Infinity && {roomTokens: Math.round(room)}),
    ...(limitPerSecond !== undefined && {limitPerSecond}),
    isCold: servers.cold.isCold(registration),
    ...(ejectedMs > 0 && {ejectedMs: Math.round(ejectedMs)}),
    ...(pauseMs > 0 && {pauseMs: Math.round(pauseMs)}),
    ...(choice && {
      score: choice.score,
      terms: computeScoreTerms(policies.server, choice.candidate),
      keptTokens: Math.round(choice.keptTokens),
      isAlwaysCompared,
    }),
  };
}
