import {createHash} from 'node:crypto';

/** Length of the name of a session up to which it is kept as it is. */
const MAX_NAME_LENGTH = 64;

/**
 * Builds the key of a session of a service. Callers choose the length of its name, and many keys are kept and
 * sent to other processes, so that a long name is replaced by its digest.
 *
 * @example
 * ```ts
 * buildSessionKey('drafts', 's-17'); // 'drafts s-17'
 * ```
 * @internal
 */
export function buildSessionKey(service: string, session: string): string {
  const name =
    session.length <= MAX_NAME_LENGTH
      ? session
      : createHash('sha256').update(session).digest('base64url');
  return `${service} ${name}`;
}
