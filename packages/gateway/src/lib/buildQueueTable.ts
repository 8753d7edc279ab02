import type {PlacementQueue} from '@sycamorehead/routing';

/**
 * Builds a table by service of what each queue says of itself.
 *
 * @example
 * ```ts
 * buildQueueTable(queues, queue => queue.describeWaiting()).drafts?.placesPerSecond;
 * ```
 * @internal
 */
export function buildQueueTable<Value>(
  queues: ReadonlyMap<string, PlacementQueue>,
  describe: (queue: PlacementQueue) => Value,
): Readonly<Record<string, Value>> {
  const table: Record<string, Value> = {};
  for (const [service, queue] of queues) table[service] = describe(queue);
  return table;
}
