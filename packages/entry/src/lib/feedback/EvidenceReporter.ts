import {randomUUID} from 'node:crypto';
import type {
  EvidenceBatch,
  EvidenceItem,
  EvidenceReceipt,
  EvidenceSink,
} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('evidence');

const BATCH_INTERVAL_MS = 150;
/** Time allowed at a stop for sending what is still queued, in milliseconds. */
const STOP_FLUSH_MS = 500;
/**
 * Interval at which empty batches are sent while there is no evidence, in milliseconds. Their
 * receipts contain the ratings of all entries.
 */
const IDLE_INTERVAL_MS = 1_000;
const MAX_BATCH_ITEMS = 500;
const MAX_PENDING_ITEMS = 5_000;
/** Maximum number of acknowledged items retained in order to be sent again to a new leader. */
const MAX_RETAINED_ITEMS = 10_000;
const MAX_RETAINED_BATCHES = 2_000;

/** Options of an EvidenceReporter. @public */
export interface EvidenceReporterOptions {
  readonly entry: string;
  readonly sink: EvidenceSink;
  /** Called with each receipt. */
  readonly onReceipt: (receipt: EvidenceReceipt) => void;
}

/**
 * Sends evidence to control in small batches, one at a time and in order. A batch is resent with
 * the same sequence number until it is acknowledged. When the pool changes, the retained batches
 * are sent again. Memory is bounded: if control is unreachable for long, the oldest evidence is
 * dropped.
 *
 * @public
 */
export class EvidenceReporter {
  private readonly epoch = randomUUID();
  private sequence = 0;
  private pending: EvidenceItem[] = [];
  private retained: EvidenceBatch[] = [];
  /** Index in `retained` of the next batch to send. */
  private nextIndex = 0;
  private pool: string | undefined;
  private lastSentAt = -Infinity;
  /** Ends the pause between two batches. */
  private wake: (() => void) | undefined;
  private running: Promise<void> = Promise.resolve();
  private isStopping = false;
  private stopped = false;

  constructor(private readonly options: EvidenceReporterOptions) {}

  /** Queues one piece of evidence. */
  record(item: EvidenceItem): void {
    this.pending.push(item);
    if (this.pending.length > MAX_PENDING_ITEMS) this.pending.shift();
  }

  /** Starts to send, until stopped. */
  start(): void {
    this.running = this.sendUntilStopped();
  }

  /** Sends what is still queued, within a short time, and stops. */
  async stop(): Promise<void> {
    this.isStopping = true;
    this.wake?.();
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<void>(resolve => {
      timer = setTimeout(resolve, STOP_FLUSH_MS);
    });
    await Promise.race([this.running, expired]);
    clearTimeout(timer);
    this.stopped = true;
  }

  private async sendUntilStopped(): Promise<void> {
    while (!this.isStopping) {
      await this.flush();
      if (!this.isStopping) await this.pause();
    }
    await this.flush();
  }

  private pause(): Promise<void> {
    return new Promise<void>(resolve => {
      const timer = setTimeout(resolve, BATCH_INTERVAL_MS);
      timer.unref();
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Sends all queued evidence. Batches that could not be sent stay queued. */
  async flush(): Promise<void> {
    this.buildBatches();
    while (!this.stopped && this.nextIndex < this.retained.length) {
      const isSent = await this.send(this.retained[this.nextIndex]!);
      if (!isSent) return;
    }
  }

  private buildBatches(): void {
    const isIdle = performance.now() - this.lastSentAt >= IDLE_INTERVAL_MS;
    const isBehind = this.nextIndex < this.retained.length;
    if (this.pending.length === 0 && isIdle && !isBehind) this.addBatch([]);
    while (this.pending.length > 0) {
      this.addBatch(this.pending.splice(0, MAX_BATCH_ITEMS));
    }
    this.dropOldest();
  }

  private addBatch(items: EvidenceItem[]): void {
    this.sequence += 1;
    const {entry} = this.options;
    const {epoch, sequence} = this;
    this.retained.push({entry, epoch, sequence, items});
  }

  private dropOldest(): void {
    let items = this.retained.reduce(
      (sum, batch) => sum + batch.items.length,
      0,
    );
    const isOverLimit = () =>
      items > MAX_RETAINED_ITEMS || this.retained.length > MAX_RETAINED_BATCHES;
    while (isOverLimit() && this.retained.length > 1) {
      items -= this.retained.shift()!.items.length;
      this.nextIndex = Math.max(0, this.nextIndex - 1);
    }
  }

  private async send(batch: EvidenceBatch): Promise<boolean> {
    this.lastSentAt = performance.now();
    try {
      const {pool} = this;
      const receipt = await this.options.sink.reportEvidence({...batch, pool});
      this.acceptReceipt(receipt);
      return true;
    } catch (error) {
      log('evidence_not_sent', {
        sequence: batch.sequence,
        error: String(error),
      });
      return false;
    }
  }

  private acceptReceipt(receipt: EvidenceReceipt): void {
    const isOtherPool = this.pool !== undefined && this.pool !== receipt.pool;
    this.pool = receipt.pool;
    this.options.onReceipt(receipt);
    // A pool ignores batches meant for another pool, so all retained batches can be sent again.
    if (isOtherPool) this.nextIndex = 0;
    else this.nextIndex += 1;
  }
}
