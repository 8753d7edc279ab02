import type {EntryPace, QueueRefusalReason} from '@sycamorehead/routing';
import type {ErrorKind} from '@sycamorehead/schema';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {ColdCounts} from './ColdServers.js';

/** Upper bounds of the buckets of the latency histograms, in seconds. */
const LATENCY_BUCKETS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 25,
];

/**
 * Counters and latency histograms of one entry.
 *
 * @public
 */
export class GatewayMetrics {
  readonly registry = new Registry();
  private readonly answers = this.createCounter('answers_total', [
    'route',
    'status',
  ]);
  private readonly attempts = this.createCounter('attempts_total', [
    'service',
    'outcome',
  ]);
  private readonly escalations = this.createCounter('escalations_total', [
    'route',
  ]);
  private readonly holds = this.createCounter('server_holds_total', [
    'service',
  ]);
  private readonly limits = this.createCounter('server_limits_total', [
    'service',
  ]);
  private readonly limitedSends = this.createCounter('limited_sends_total', [
    'service',
  ]);
  private readonly quarantined = this.createCounter('quarantined_total', [
    'service',
  ]);
  private readonly queueRefusals = this.createCounter('queue_refusals_total', [
    'service',
    'reason',
  ]);
  private readonly promptTokens = this.createCounter('prompt_tokens_total', [
    'service',
    'source',
  ]);
  private readonly memoryFull = this.createCounter('memory_full_total', [
    'service',
  ]);
  private readonly waits = this.createHistogram('queue_wait_seconds');
  private readonly firstBytes = this.createHistogram('first_byte_seconds');
  private readonly waiting = this.createGauge(
    'waiting',
    'Requests that wait for a place',
  );
  private readonly waitingByUrgency = this.createGauge(
    'waiting_by_urgency',
    'Requests that wait for a place, by service and urgency class',
    ['service', 'urgency'],
  );
  private readonly failures = this.createCounter('failures_total', [
    'route',
    'kind',
  ]);
  private readonly evacuated = this.createGauge(
    'evacuated_data_centres',
    'Data centres to whose servers nothing is sent',
  );
  private readonly coldPermits = this.createCounter('cold_permits_total', [
    'type',
  ]);
  private readonly coldServers = this.createGauge(
    'cold_servers',
    'Backend servers that are known to be cold',
  );
  private readonly processorDelay = this.createGauge(
    'processor_delay_seconds',
    'Time for which ready work waits for the processor',
  );
  private readonly linkDelay = this.createGauge(
    'link_delay_seconds',
    'Time that the bytes queued for callers need on the link',
  );

  /** Counts a final answer; status 0 is a caller that has disconnected. */
  recordAnswer(route: string, status: number): void {
    this.answers.inc({route, status: String(status)});
  }

  /** Counts one send to a backend server. */
  recordAttempt(service: string, outcome: string): void {
    this.attempts.inc({service, outcome});
  }

  /** Counts an answer that was requested again from a larger model. */
  recordEscalation(route: string): void {
    this.escalations.inc({route});
  }

  /** Counts an answer by which a backend server asks for a pause. */
  recordHold(service: string): void {
    this.holds.inc({service});
  }

  /** Counts an answer by which a backend server limits the requests of all entries. */
  recordLimit(service: string): void {
    this.limits.inc({service});
  }

  /** Counts a send to a backend server that limits its requests. */
  recordLimitedSend(service: string): void {
    this.limitedSends.inc({service});
  }

  /** Counts a request that was refused or cancelled because of a prompt segment in quarantine. */
  recordQuarantined(service: string): void {
    this.quarantined.inc({service});
  }

  /** Counts a request that got no place. */
  recordQueueRefusal(service: string, reason: QueueRefusalReason): void {
    this.queueRefusals.inc({service, reason});
  }

  /** Counts the tokens of a prompt that a server is believed to have kept, and those it has to read. */
  recordPrompt(service: string, kept: number, read: number): void {
    this.promptTokens.inc({service, source: 'kept'}, kept);
    this.promptTokens.inc({service, source: 'read'}, read);
  }

  /** Counts a request that found no memory at servers that had slots left. */
  recordMemoryFull(service: string): void {
    this.memoryFull.inc({service});
  }

  /** Records how long a request waited for a slot. */
  recordWait(ms: number): void {
    this.waits.observe(ms / 1_000);
  }

  /** Records the time from arrival to the first byte of an answer. */
  recordFirstByte(ms: number): void {
    this.firstBytes.observe(ms / 1_000);
  }

  /** Counts a request that ended with an error of this entry, by its kind. */
  recordFailure(route: string, kind: ErrorKind): void {
    this.failures.inc({route, kind});
  }

  setEvacuated(count: number): void {
    this.evacuated.set(count);
  }

  /** Records the servers that are cold, and the permits for sends to them since the last record. */
  recordCold(servers: number, counts: ColdCounts): void {
    this.coldServers.set(servers);
    for (const [type, count] of Object.entries(counts)) {
      this.coldPermits.inc({type}, Math.max(0, count));
    }
  }

  setWaiting(count: number): void {
    this.waiting.set(count);
  }

  /** Sets the requests that wait, by service and urgency class. */
  setWaitingByUrgency(counts: ReadonlyMap<string, readonly number[]>): void {
    this.waitingByUrgency.reset();
    for (const [service, classes] of counts) {
      classes.forEach((count, urgency) =>
        this.waitingByUrgency.set({service, urgency}, count),
      );
    }
  }

  /** Records how the entry keeps up with its own work. */
  setPace({processorDelayMs, linkDelayMs}: EntryPace): void {
    this.processorDelay.set(processorDelayMs / 1_000);
    this.linkDelay.set(linkDelayMs / 1_000);
  }

  private createGauge(
    name: string,
    help: string,
    labelNames: string[] = [],
  ): Gauge {
    return new Gauge({
      name: `syc_gateway_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  private createCounter(name: string, labelNames: string[]): Counter {
    return new Counter({
      name: `syc_gateway_${name}`,
      help: name,
      labelNames,
      registers: [this.registry],
    });
  }

  private createHistogram(name: string): Histogram {
    return new Histogram({
      name: `syc_gateway_${name}`,
      help: name,
      buckets: LATENCY_BUCKETS,
      registers: [this.registry],
    });
  }
}
