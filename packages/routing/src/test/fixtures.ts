import {
  Announcement,
  CustomerDeclaration,
  VersionRef,
} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import type {RoutedRequest} from '../lib/routingTypes.js';
import {RoutingContext} from '../lib/RoutingContext.js';

/** The version that every test server has loaded. */
export const VERSION: VersionRef = {model: 'm', version: 'v1'};

/** Builds a ready engine. */
export function buildServer(
  id: string,
  load?: Announcement['load'],
): KnownServer {
  return {
    lastSeenAt: performance.now(),
    announcement: {
      id,
      address: 'http://127.0.0.1:1',
      dataCentre: 'dc-1',
      kind: 'engine',
      generation: 1,
      sequence: 1,
      state: 'ready',
      versions: [VERSION],
      slots: 4,
      fencing: 'checked',
      load,
    },
  };
}

/** Builds a customer. */
export function buildCustomer(
  customer = 'a',
  change: Partial<CustomerDeclaration> = {},
): CustomerDeclaration {
  return {
    customer,
    keyHash: 'sha256:0',
    models: [{model: 'm', versions: 'any'}],
    services: [],
    weight: 1,
    limits: {requestsPerSecond: 10_000, tokensPerSecond: 10_000_000},
    qualityTarget: 0.5,
    ...change,
  } as CustomerDeclaration;
}

let requests = 0;

/** Builds a request that is due in 600 ms. */
export function buildRequest(
  change: Partial<RoutedRequest> = {},
): RoutedRequest {
  requests += 1;
  return {
    requestId: `req-${requests}`,
    customer: buildCustomer(),
    model: 'm',
    kind: 'proof',
    promptTokens: 40,
    prefixKey: `prefix-${requests}`,
    deadlineAt: performance.now() + 600,
    ...change,
  };
}

/** Builds a context over servers, taught that proofs have 8 tokens and briefs 200. */
export function buildContext(servers: readonly KnownServer[]): RoutingContext {
  const context = new RoutingContext('dc-1', () => [...servers]);
  for (let round = 0; round < 20; round++) {
    context.estimator.record(buildRequest(), 8);
    context.estimator.record(buildRequest(), 8);
    context.estimator.record(buildRequest({kind: 'brief'}), 200);
  }
  return context;
}

/** Teaches a context how fast servers are. */
export function recordSpeed(
  context: RoutingContext,
  servers: readonly KnownServer[],
  tokenMs: number,
): void {
  for (const {announcement} of servers) {
    for (let sample = 0; sample < 40; sample++) {
      context.speeds.record(announcement.id, tokenMs);
    }
  }
}
