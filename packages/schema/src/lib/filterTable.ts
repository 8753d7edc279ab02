/** Maximum of a number that another process reports: sums of them stay exact. */
const MAX_COUNT = 1e9;

/**
 * Returns whether a value from another process is a table.
 *
 * @example
 * ```ts
 * isTable({s1: [2, 100]}); // true
 * isTable([2, 100]); // false
 * ```
 * @public
 */
export function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Filters a table from another process. Values for which the function returns undefined are left out, and
 * names that every object has, such as `constructor`: sums in plain objects would find those. The result
 * has no prototype, so that any name may be looked up.
 *
 * @example
 * ```ts
 * filterTable({s1: -2, __proto__: 1}, value => limitCount(value)); // {s1: 0}
 * ```
 * @public
 */
export function filterTable<Value>(
  table: unknown,
  filterValue: (value: unknown) => Value | undefined,
): Readonly<Record<string, Value>> {
  const filtered = Object.create(null) as Record<string, Value>;
  if (!isTable(table)) return filtered;
  for (const [name, value] of Object.entries(table)) {
    if (name in Object.prototype) continue;
    const kept = filterValue(value);
    if (kept !== undefined) filtered[name] = kept;
  }
  return filtered;
}

/**
 * Limits a number from another process to a range from 0; what is no finite number becomes 0.
 *
 * @example
 * ```ts
 * limitCount(-3); // 0
 * limitCount(9_000, 500); // 500
 * ```
 * @public
 */
export function limitCount(value: unknown, max = MAX_COUNT): number {
  if (typeof value !== 'number' || !Number.isFinite(value)) return 0;
  return Math.min(max, Math.max(0, value));
}
