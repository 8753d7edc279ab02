import {Counter, Gauge, Registry} from 'prom-client';

/** What a process holds for its clients. */
interface ClientUsage {
  readonly bodyBytes: number;
  readonly waitingBodies: number;
  readonly answerBytes: number;
  /** Heap that heads take. */
  readonly headBytes: number;
  readonly connections: number;
  /** Refusals so far by reason. */
  readonly refusals: ReadonlyMap<string, number>;
}

/**
 * Adds the metrics of what a process holds for its clients to a registry.
 *
 * @example
 * ```ts
 * createClientMetrics(registry, () => limits.readUsage());
 * ```
 * @public
 */
export function createClientMetrics(
  registry: Registry,
  readUsage: () => ClientUsage,
): void {
  const registers = [registry];
  const createGauge = (
    name: string,
    help: string,
    read: (usage: ClientUsage) => number,
  ) =>
    new Gauge({
      name: `syc_client_${name}`,
      help,
      registers,
      collect() {
        this.set(read(readUsage()));
      },
    });
  createGauge(
    'body_bytes',
    'Bytes of bodies that are held, and those promised to bodies being read',
    ({bodyBytes}) => bodyBytes,
  );
  createGauge(
    'waiting_bodies',
    'Bodies that wait for room',
    ({waitingBodies}) => waitingBodies,
  );
  createGauge(
    'answer_bytes',
    'Bytes of answers that clients have not read',
    ({answerBytes}) => answerBytes,
  );
  createGauge(
    'head_bytes',
    'Heap that heads take, in bytes',
    ({headBytes}) => headBytes,
  );
  createGauge(
    'connections',
    'Connections of clients',
    ({connections}) => connections,
  );
  new Counter({
    name: 'syc_client_refusals_total',
    help: 'Requests refused and connections closed to stay within the limits, by reason',
    labelNames: ['reason'],
    registers,
    collect() {
      this.reset();
      for (const [reason, count] of readUsage().refusals) {
        this.inc({reason}, count);
      }
    },
  });
}
