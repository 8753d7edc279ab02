import type {IncomingHttpHeaders} from 'node:http';
import {
  Configuration,
  CustomerDeclaration,
  SycamoreheadError,
  hashKey,
  isSameHash,
} from '@sycamorehead/schema';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

/**
 * Reads the bearer key of a request.
 *
 * @throws SycamoreheadError `unauthenticated`.
 * @example
 * ```ts
 * readBearerKey({authorization: 'Bearer k'}); // 'k'
 * ```
 * @public
 */
export function readBearerKey(headers: IncomingHttpHeaders): string {
  const match = BEARER.exec(headers.authorization ?? '');
  if (match?.[1]) return match[1];
  throw new SycamoreheadError(
    'unauthenticated',
    'expected the header Authorization: Bearer KEY',
    {field: 'Authorization'},
  );
}

/**
 * Finds the customer whose key a request carries.
 *
 * @throws SycamoreheadError `unauthenticated`.
 * @example
 * ```ts
 * authenticateCustomer(request.headers, configuration).customer;
 * ```
 * @public
 */
export function authenticateCustomer(
  headers: IncomingHttpHeaders,
  configuration: Configuration,
): CustomerDeclaration {
  const given = hashKey(readBearerKey(headers));
  let found: CustomerDeclaration | undefined;
  // All hashes are compared, so that the duration does not reveal which one matches.
  for (const customer of Object.values(configuration.customers)) {
    if (isSameHash(given, customer.keyHash)) found = customer;
  }
  if (found) return found;
  throw new SycamoreheadError('unauthenticated', 'the key is not known');
}
