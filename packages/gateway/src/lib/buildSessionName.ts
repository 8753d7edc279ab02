import {CallerRequest, listSharedSegments} from './CallerRequest.js';

/** What the session of a request depends on. @internal */
export interface SessionInput {
  readonly request: Pick<CallerRequest, 'session' | 'promptSegments'>;
  /** Undefined if requests carry no keys. */
  readonly customer: string | undefined;
}

/**
 * Builds the name of the session of a request, which no other customer shares: the one that its caller
 * names, or else the last part of its prompt that others have too.
 *
 * @example
 * ```ts
 * buildSessionName({request: {session: '17', promptSegments: []}, customer: 'clinic'}); // 'clinic 17'
 * ```
 * @internal
 */
export function buildSessionName({
  request,
  customer = '',
}: SessionInput): string | undefined {
  const session = request.session ?? listSharedSegments(request).at(-1);
  return session === undefined ? undefined : `${customer} ${session}`;
}
