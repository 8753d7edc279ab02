import type {FleetUpdate} from '@sycamorehead/fleet';
import {buildCallerGone} from '@sycamorehead/routing';
import type {SycamoreheadError} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import {buildHeldRefusal} from './refusals.js';

/**
 * What each server that has registered may get, relative to an equal share of the requests. More than one,
 * since their number is an estimate.
 */
const MAX_SHARE = 1.4;
/** Maximum number of services whose requests are held while the directory fills. */
const MAX_SERVICES = 200;
/** Maximum number of requests of a service that are held. */
const MAX_HELD = 500;
/** Time between two looks at the requests that are held, in milliseconds. */
const RELEASE_INTERVAL_MS = 20;
/** Time before the last useful moment of a request at which it is no longer held, in milliseconds. */
const HELD_MARGIN_MS = 200;

/** A request that may be held. @public */
export interface HeldRequest {
  readonly service: string;
  /** The time until which it can be sent and be answered in time, on the monotonic clock. */
  readonly startBy: number;
  readonly signal: AbortSignal;
  /** Requests of a service with the same needs can be sent to the same servers. */
  readonly needs?: string;
  /** Finds the refusal of a request that none of the known servers will run. */
  findRefusal?(): SycamoreheadError | undefined;
}

interface Waiter {
  readonly request: HeldRequest;
  release(): void;
  refuse(error: SycamoreheadError): void;
}

/** The requests of one service since the directory began to fill. */
interface ServiceQueue {
  /** Those that were refused or whose callers left while they were held do not count. */
  asked: number;
  sent: number;
  /** By how much of a request the next one has to be due; drawn, so that entries do not send in step. */
  threshold: number;
  readonly waiters: Set<Waiter>;
}

/**
 * Spreads requests over the time in which the backend servers register again after all control instances
 * have restarted. Servers register evenly over that time, so that the fraction that is known grows with it;
 * without a bound, the requests of all entries would go to the first one.
 *
 * @public
 */
export class DirectoryFill {
  /** When the oldest directory that was told began to fill, on the monotonic clock. */
  private since = Infinity;
  private fillMs = 0;
  private readonly queues = new Map<string, ServiceQueue>();
  private timer: NodeJS.Timeout | undefined;

  // Commands.

  /** Applies an update from a control instance; the one that has run for longest knows most servers. */
  update({directory}: FleetUpdate): void {
    if (!directory) return;
    const since = performance.now() - directory.ageMs;
    if (since >= this.since) return;
    this.since = since;
    this.fillMs = directory.fillMs;
    if (!this.isFilling) return;
    writeDecision('directory_fills', {
      age_ms: Math.round(directory.ageMs),
      fill_ms: directory.fillMs,
    });
  }

  /**
   * Waits until enough servers have registered for a request; not beyond the time at which its answer can
   * be in time. Of too many, the least urgent is refused.
   *
   * @throws SycamoreheadError `caller_gone`, `overloaded`, or what `findRefusal` returns.
   */
  async waitTurn(request: HeldRequest): Promise<void> {
    const {service, startBy, signal} = request;
    if (signal.aborted) throw buildCallerGone();
    if (!this.isFilling) return;
    const queue = this.getQueue(service);
    // Requests of further services are not spread.
    if (!queue) return;
    if (queue.waiters.size === 0) {
      const next = {...queue, asked: queue.asked + 1};
      if (!this.isHeld(next, startBy)) {
        queue.asked += 1;
        recordSend(queue);
        return;
      }
    }
    const refusal = request.findRefusal?.();
    if (refusal) throw refusal;
    if (queue.waiters.size >= MAX_HELD) this.refuseLast(queue, startBy);
    await this.enqueue(queue, request);
  }

  /** Refuses the held requests that no server will run, after the table of servers has changed. */
  refuseClosed(): void {
    for (const {waiters} of this.queues.values()) {
      const open = new Set<string | undefined>();
      for (const {request, refuse} of [...waiters]) {
        if (open.has(request.needs)) continue;
        // Each gets a delay of its own.
        const refusal = request.findRefusal?.();
        if (refusal) refuse(refusal);
        else open.add(request.needs);
      }
    }
  }

  // Queries.

  /** Whether servers that run may not have registered yet. */
  get isFilling(): boolean {
    return this.knownFraction < 1;
  }

  /** Returns whether a request would be held now, or may be if its service has asked for no turn yet. */
  isHolding({
    service,
    startBy,
  }: Pick<HeldRequest, 'service' | 'startBy'>): boolean {
    if (!this.isFilling) return false;
    const queue = this.queues.get(service);
    if (!queue) {
      return this.queues.size < MAX_SERVICES && !isLastMoment(startBy);
    }
    const next = {...queue, asked: queue.asked + 1};
    return queue.waiters.size > 0 || this.isHeld(next, startBy);
  }

  /** Counts the requests of a service that are held. */
  countHeld(service: string): number {
    return this.queues.get(service)?.waiters.size ?? 0;
  }

  private enqueue(queue: ServiceQueue, request: HeldRequest): Promise<void> {
    const {signal} = request;
    queue.asked += 1;
    return new Promise((resolve, reject) => {
      const end = () => {
        signal.removeEventListener('abort', handleAbort);
        queue.waiters.delete(waiter);
      };
      const waiter: Waiter = {
        request,
        release: () => {
          end();
          recordSend(queue);
          resolve();
        },
        refuse: error => {
          end();
          queue.asked -= 1;
          reject(error);
        },
      };
      const handleAbort = () => waiter.refuse(buildCallerGone());
      queue.waiters.add(waiter);
      signal.addEventListener('abort', handleAbort, {once: true});
      this.timer ??= setInterval(() => this.releaseDue(), RELEASE_INTERVAL_MS);
    });
  }

  /** Refuses the least urgent of too many requests: the new one, or one that is held. */
  private refuseLast({waiters}: ServiceQueue, startBy: number): void {
    let last: Waiter | undefined;
    for (const waiter of waiters) {
      const lastStartBy = last?.request.startBy ?? startBy;
      if (waiter.request.startBy > lastStartBy) last = waiter;
    }
    const refusal = buildHeldRefusal(this.leftMs);
    if (!last) throw refusal;
    last.refuse(refusal);
  }

  /** Releases the requests whose turn it is, the most urgent first. */
  private releaseDue(): void {
    let held = 0;
    for (const queue of this.queues.values()) {
      const waiters = [...queue.waiters].sort(
        (first, second) => first.request.startBy - second.request.startBy,
      );
      let due = this.countDue(queue);
      for (const {request, release} of waiters) {
        if (due < 1 && !isLastMoment(request.startBy)) continue;
        due -= 1;
        release();
      }
      held += queue.waiters.size;
    }
    if (held > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
    if (!this.isFilling) this.queues.clear();
  }

  private isHeld(queue: ServiceQueue, startBy: number): boolean {
    return this.countDue(queue) < 1 && !isLastMoment(startBy);
  }

  /** Counts the requests of a service that may be sent now. */
  private countDue({asked, sent, threshold}: ServiceQueue): number {
    const fraction = this.knownFraction;
    if (fraction >= 1) return Infinity;
    return Math.floor(asked * fraction - sent - threshold + 1);
  }

  /** The fraction of the requests for which the servers known by now suffice. */
  private get knownFraction(): number {
    const ageMs = performance.now() - this.since;
    // No control instance has told how old its directory is.
    if (ageMs < 0) return 1;
    return Math.min(1, (MAX_SHARE * ageMs) / Math.max(1, this.fillMs));
  }

  /** The time for which requests are still held, in milliseconds. */
  private get leftMs(): number {
    return this.since + this.fillMs / MAX_SHARE - performance.now();
  }

  private getQueue(service: string): ServiceQueue | undefined {
    const known = this.queues.get(service);
    if (known || this.queues.size >= MAX_SERVICES) return known;
    const queue: ServiceQueue = {
      asked: 0,
      sent: 0,
      threshold: Math.random(),
      waiters: new Set(),
    };
    this.queues.set(service, queue);
    return queue;
  }
}

function recordSend(queue: ServiceQueue): void {
  queue.sent += 1;
  queue.threshold = Math.random();
}

function isLastMoment(startBy: number): boolean {
  return performance.now() + HELD_MARGIN_MS >= startBy;
}
