/**
 * What changed between two configurations, so that a small change travels small. The digest of
 * the result travels with it: a receiver whose result differs asks for the whole.
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

/** Changes that lead from one revision to another. @public */
export interface ConfigurationDelta {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Changed tables by field. */
  readonly tables: Readonly<Record<string, TableDelta>>;
  /** Fields that are no tables, whole. */
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
 * Computes what leads from one configuration to another.
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
    const earlier: unknown = before[field as keyof Configuration];
    if (!isTable(value) || !isTable(earlier)) {
      fields[field] = value as JsonValue;
      continue;
    }
    const delta = diffTables(earlier, value);
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
 * Applies a delta; undefined where it does not fit or the result has another digest.
 *
 * @example
 * ```ts
 * applyConfigurationDelta(before, diffConfigurations(before, after))?.revision; // after's
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
