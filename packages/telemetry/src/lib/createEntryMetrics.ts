import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/**
 * Histogram bounds in seconds, from the time to the first token of a short answer to the duration
 * of a long one.
 */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.6, 2.5, 5, 10, 30, 60, 120,
];

/** The metrics of one entry. @public */
export interface EntryMetrics {
  readonly registry: Registry;
  /** Answers by customer, request kind, version and outcome (`ok` or an error kind). */
  readonly answers: Counter<'customer' | 'kind' | 'version' | 'outcome'>;
  /** Time to first token in seconds by customer and request kind. */
  readonly firstToken: Histogram<'customer' | 'kind'>;
  /** Time to the end of the answer in seconds by customer and request kind. */
  readonly duration: Histogram<'customer' | 'kind'>;
  /** Billed micro-units by customer and version. */
  readonly billed: Counter<'customer' | 'version'>;
  readonly revision: Gauge;
  readonly leaseSeconds: Gauge;
  readonly running: Gauge;
}

/**
 * Creates an entry's metrics in a separate registry.
 *
 * @example
 * ```ts
 * const metrics = createEntryMetrics();
 * metrics.revision.set(4);
 * ```
 * @public
 */
export function createEntryMetrics(): EntryMetrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    answers: new Counter({
      name: 'sycamorehead_answers_total',
      help: 'Answers by customer, request kind, version and outcome',
      labelNames: ['customer', 'kind', 'version', 'outcome'],
      registers,
    }),
    firstToken: new Histogram({
      name: 'sycamorehead_first_token_seconds',
      help: 'Time to first token',
      labelNames: ['customer', 'kind'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    duration: new Histogram({
      name: 'sycamorehead_answer_seconds',
      help: 'Time to the whole answer',
      labelNames: ['customer', 'kind'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    billed: new Counter({
      name: 'sycamorehead_billed_micros_total',
      help: 'Billed currency micro-units',
      labelNames: ['customer', 'version'],
      registers,
    }),
    revision: new Gauge({
      name: 'sycamorehead_revision',
      help: 'Configuration revision that this entry routes on',
      registers,
    }),
    leaseSeconds: new Gauge({
      name: 'sycamorehead_lease_seconds',
      help: 'Time left on the configuration lease',
      registers,
    }),
    running: new Gauge({
      name: 'sycamorehead_running_requests',
      help: 'Requests being served',
      registers,
    }),
  };
}
