/**
 * The difference between two configurations, so that only changes are sent. A delta contains the
 * digest of the resulting configuration. A receiver that computes another digest requests the
 * whole configuration.
 *
 * @public
 */
import type {Configuration} from './configuration.js';
import {JsonValue, computeDigest, formatCanonicalJson} from './json.js';

/** Changes of one table of a configuration. @public */
export interface TableDelta {
  readonly set: Readonly<Record<string, JsonValue>>;
  readonly removed: readonly string[];
}

/** The changes from one revision to another. @public */
export interface ConfigurationDelta {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Changed tables by field name. */
  readonly tables: Readonly<Record<string, TableDelta>>;
  /** Complete values of the fields that are not tables. */
  readonly fields: Readonly<Record<string, JsonValue>>;
  /** Digest of the resulting configuration. */
  readonly digest: string;
}

type Table = Readonly<Record<string, JsonValue>>;

function isTable(value: unknown): value is Table {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isSame(left: unknown, right: unknown): boolean {
  if (left === right) return true;
  return formatCanonicalJson(left) === formatCanonicalJson(right);
}

function diffTables(before: Table, after: Table): TableDelta | undefined {
  const set = Object.entries(after).filter(
    ([key, entry]) =>
      !Object.hasOwn(before, key) || !isSame(before[key], entry),
  );
  const removed = Object.keys(before).filter(key => !Object.hasOwn(after, key));
  if (set.length === 0 && removed.length === 0) return undefined;
  return {set: Object.fromEntries(set), removed};
}

/**
 * Computes the delta between two configurations.
 *
 * @example
 * ```ts
 * diffConfigurations(before, after).tables.versions?.set; // only the versions that changed
 * ```
 * @public
 */
export function diffConfigurations(
  before: Configuration,
  after: Configuration,
): ConfigurationDelta {
  const tables: Record<string, TableDelta> = {};
  const fields: Record<string, JsonValue> = {};
  for (const [field, value] of Object.entries(after)) {
    const previous: unknown = before[field as keyof Configuration];
    if (!isTable(value) || !isTable(previous)) {
      fields[field] = value as JsonValue;
      continue;
    }
    const delta = diffTables(previous, value);
    if (delta) tables[field] = delta;
  }
  return {
    fromRevision: before.revision,
    toRevision: after.revision,
    tables,
    fields,
    digest: computeDigest(after),
  };
}

/**
 * Applies a delta. Returns undefined if it starts from another revision or the digest of the result
 * differs.
 *
 * @example
 * ```ts
 * applyConfigurationDelta(before, diffConfigurations(before, after))?.revision; // after.revision
 * ```
 * @public
 */
export function applyConfigurationDelta(
  before: Configuration,
  delta: ConfigurationDelta,
): Configuration | undefined {
  if (before.revision !== delta.fromRevision) return undefined;
  const after: Record<string, unknown> = {...before, ...delta.fields};
  for (const [field, {set, removed}] of Object.entries(delta.tables)) {
    const table = {...(after[field] as Table | undefined), ...set};
    for (const key of removed) delete table[key];
    after[field] = table;
  }
  if (computeDigest(after) !== delta.digest) return undefined;
  return after as unknown as Configuration;
}
