import type {CallerRequest} from './CallerRequest.js';
import {HeaderNames, copyEndToEndHeaders} from './headerNames.js';
import type {KnownServer} from './KnownServer.js';
import type {RequestTarget} from './resolveTarget.js';

const MAX_PRIORITY = 9;
const BODILESS_METHODS = new Set(['GET', 'HEAD']);

/** What one send adds to the caller's headers. @public */
export interface SendDetails {
  readonly target: RequestTarget;
  readonly server: KnownServer;
  readonly model: string | undefined;
  /** Time left for the server, in milliseconds. */
  readonly leftMs: number;
  /** The event after which a stream continues. */
  readonly resumeAfter: string | undefined;
}

/**
 * Builds the headers of one send: the caller's, except those of its connection and its key, and
 * those that the router sets regardless of what the caller sent.
 *
 * @example
 * ```ts
 * buildServerHeaders(request, names, details); // ['Host', 'a.example', ...]
 * ```
 * @public
 */
export function buildServerHeaders(
  request: CallerRequest,
  names: HeaderNames,
  details: SendDetails,
): string[] {
  const {target, server, model, leftMs, resumeAfter} = details;
  const own: Array<[string, string | undefined]> = [
    [names.deadlineMs, String(Math.max(1, Math.floor(leftMs)))],
    [names.expectServer, server.listing.registration.id],
    [names.customer, target.customer],
    [names.model, model],
    [names.lastEventId, resumeAfter],
  ];
  if (target.service.engine) {
    const priority = Math.min(MAX_PRIORITY, Math.max(0, target.priority));
    own.push([names.priority, String(priority)]);
  }
  // Without a length, node:http would send an empty body in chunks.
  if (request.body.length > 0 || !BODILESS_METHODS.has(request.method)) {
    own.push(['content-length', String(request.body.length)]);
  }
  const set = own.flatMap(([name, value]) =>
    value === undefined ? [] : [name, value],
  );
  const dropped = new Set([
    ...names.routerOwned,
    ...set.filter((unused, index) => index % 2 === 0),
    names.key,
    names.customer,
    'expect',
  ]);
  const copied = copyEndToEndHeaders(request.rawHeaders, dropped);
  return [...copied, ...set, 'Connection', 'keep-alive'];
}
