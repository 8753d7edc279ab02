import {SycamoreheadError} from '@sycamorehead/schema';
import type {ConsensusRequest} from './consensusMessages.js';

type FieldType = 'integer' | 'string' | 'boolean' | 'array';
type Fields = Readonly<Record<string, FieldType>>;

const COMMON_FIELDS: Fields = {
  shard: 'integer',
  group: 'string',
  from: 'string',
  to: 'string',
  term: 'integer',
};

const FIELDS: Readonly<Record<ConsensusRequest['type'], Fields>> = {
  vote: {
    isPreVote: 'boolean',
    isTransfer: 'boolean',
    lastIndex: 'integer',
    lastTerm: 'integer',
  },
  append: {
    previousIndex: 'integer',
    previousTerm: 'integer',
    entries: 'array',
    commitIndex: 'integer',
  },
  snapshot: {
    index: 'integer',
    snapshotTerm: 'integer',
    members: 'array',
    digest: 'string',
    totalBytes: 'integer',
    offset: 'integer',
    chunk: 'string',
  },
  transfer: {},
};

const ENTRY_FIELDS: Fields = {
  index: 'integer',
  term: 'integer',
  type: 'string',
};

const CHECKS: Readonly<Record<FieldType, (value: unknown) => boolean>> = {
  integer: value => Number.isSafeInteger(value) && (value as number) >= 0,
  string: value => typeof value === 'string',
  boolean: value => typeof value === 'boolean',
  array: value => Array.isArray(value),
};

function checkFields(value: unknown, fields: Fields, path: string): void {
  const record = (value ?? {}) as Record<string, unknown>;
  for (const [field, type] of Object.entries(fields)) {
    if (CHECKS[type](record[field])) continue;
    throw new SycamoreheadError(
      'malformed_request',
      `${path}${field}: expected ${type}`,
      {field: `${path}${field}`},
    );
  }
}

/**
 * Validates the fields of a request before any state changes. An unexpected error after this
 * point may leave the member in an undefined state, so it stops the member.
 *
 * @throws SycamoreheadError `malformed_request`.
 * @internal
 */
export function checkConsensusRequest(request: ConsensusRequest): void {
  const {type} = (request ?? {}) as {type?: unknown};
  if (typeof type !== 'string' || !Object.hasOwn(FIELDS, type)) {
    throw new SycamoreheadError('malformed_request', 'type: unknown', {
      field: 'type',
    });
  }
  checkFields(request, COMMON_FIELDS, '');
  checkFields(request, FIELDS[request.type], '');
  if (request.type !== 'append') return;
  for (const entry of request.entries) {
    checkFields(entry, ENTRY_FIELDS, 'entries.');
  }
}
