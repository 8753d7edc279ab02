import type {HeaderNames} from './headerNames.js';

/** The product's own header names, for fleets whose platform defines none. @public */
export const DEFAULT_HEADERS: HeaderNames = {
  requestId: 'syc-request-id',
  deadlineMs: 'syc-deadline-ms',
  key: 'syc-key',
  customer: 'syc-customer',
  expectServer: 'syc-expect-server',
  serverId: 'syc-server-id',
  notExecuted: 'syc-not-executed',
  serverLeaving: 'syc-server-leaving',
  serverLimit: 'syc-server-limit',
  coldMs: 'syc-cold-ms',
  signature: 'syc-signature',
  model: 'syc-model',
  tokenUsage: 'syc-token-usage',
  prefix: 'syc-prefix',
  session: 'syc-session',
  lastEventId: 'last-event-id',
  priority: 'syc-priority',
  confidence: 'syc-confidence',
  weightVersion: 'syc-weight-version',
  routerOwned: ['syc-customer', 'syc-expect-server', 'syc-priority'],
};
