import {Configuration, formatCanonicalJson} from '@sycamorehead/schema';

type Table = Readonly<Record<string, unknown>>;

function describeTable(name: string, before: Table, after: Table): string[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].sort().flatMap(key => {
    const old = before[key];
    const next = after[key];
    if (old === undefined) {
      return [`+ ${name} ${key} ${formatCanonicalJson(next)}`];
    }
    if (next === undefined) return [`- ${name} ${key}`];
    return describeFields(`${name} ${key}`, old as Table, next as Table);
  });
}

function describeFields(name: string, old: Table, next: Table): string[] {
  const fields = new Set([...Object.keys(old), ...Object.keys(next)]);
  return [...fields].sort().flatMap(field => {
    const left = formatCanonicalJson(old[field] ?? null);
    const right = formatCanonicalJson(next[field] ?? null);
    return left === right ? [] : [`~ ${name} ${field}: ${left} -> ${right}`];
  });
}

/**
 * Describes the differences between two configurations with one line each: `+` added, `-` removed,
 * `~` changed.
 *
 * @example
 * ```ts
 * describeChanges(configuration, applyReleaseNote(configuration, note));
 * ```
 * @internal
 */
export function describeChanges(
  before: Configuration,
  after: Configuration,
): string[] {
  return [
    ...describeTable('version', before.versions, after.versions),
    ...describeTable('customer', before.customers, after.customers),
    ...describeTable('service', before.services, after.services),
  ];
}
