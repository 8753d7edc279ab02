/**
 * Copies the state of an object with all objects that it refers to, so that code may run on it that
 * changes it. Copies keep their classes; functions are shared, but for those that are replaced.
 *
 * @param replaced - What stands in the copy instead of an object or a function.
 * @example
 * ```ts
 * copyState(policy, new Map([[random, () => 0.5]]));
 * ```
 * @internal
 */
export function copyState<State>(
  state: State,
  replaced: ReadonlyMap<unknown, unknown> = new Map(),
): State {
  return new StateCopier(replaced).copy(state) as State;
}

class StateCopier {
  /** Copies by their originals; what is referred to twice is copied once. */
  private readonly copies: Map<unknown, unknown>;

  constructor(replaced: ReadonlyMap<unknown, unknown>) {
    this.copies = new Map(replaced);
  }

  copy(state: unknown): unknown {
    if (this.copies.has(state)) return this.copies.get(state);
    if (typeof state !== 'object' || state === null) return state;
    if (state instanceof Map) return this.copyMap(state);
    if (state instanceof Set) return this.copySet(state);
    const copied: object = Array.isArray(state)
      ? []
      : (Object.create(Object.getPrototypeOf(state) as object) as object);
    this.copies.set(state, copied);
    for (const key of Reflect.ownKeys(state)) {
      Reflect.set(copied, key, this.copy(Reflect.get(state, key)));
    }
    return copied;
  }

  private copyMap(state: ReadonlyMap<unknown, unknown>): Map<unknown, unknown> {
    const copied = new Map<unknown, unknown>();
    this.copies.set(state, copied);
    for (const [key, value] of state) {
      copied.set(this.copy(key), this.copy(value));
    }
    return copied;
  }

  private copySet(state: ReadonlySet<unknown>): Set<unknown> {
    const copied = new Set<unknown>();
    this.copies.set(state, copied);
    for (const value of state) copied.add(this.copy(value));
    return copied;
  }
}
