import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';

/** Work that waits for a slot. @public */
export interface WaitingWork<Slot> {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The time at which the wait is abandoned, on the monotonic clock. */
  readonly abandonAt: number;
  readonly signal: AbortSignal;
  /**
   * Reserves a slot if one is free now.
   *
   * @throws SycamoreheadError if waiting is pointless.
   */
  tryReserveSlot(): Slot | undefined;
}

interface Waiter {
  readonly priority: number;
  /** Tries to reserve a slot and returns whether the waiter is settled. */
  trySettle(): boolean;
  refuse(error: SycamoreheadError): void;
}

/** Maximum number of requests that wait at one entry for one service. */
const MAX_WAITING = 500;

/**
 * Queues the requests of one service that wait for a slot, ordered by priority and then by
 * arrival. A request whose wait times out is refused immediately.
 *
 * @public
 */
export class PlacementQueue {
  private waiters: Waiter[] = [];

  /** The number of waiting requests. */
  get length(): number {
    return this.waiters.length;
  }

  /** Counts the waiting requests that go before one of that priority. */
  countAhead(priority: number): number {
    return this.waiters.filter(waiter => waiter.priority <= priority).length;
  }

  /**
   * Reserves a slot and waits for one if none is free.
   *
   * @throws SycamoreheadError `overloaded` if no slot becomes free in time, `caller_gone`, or what
   * `tryReserveSlot` throws.
   * @example
   * ```ts
   * const slot = await queue.acquire(work);
   * ```
   */
  async acquire<Slot>(work: WaitingWork<Slot>): Promise<Slot> {
    const isFirst = !this.waiters.some(
      ({priority}) => priority <= work.priority,
    );
    const slot = isFirst ? work.tryReserveSlot() : undefined;
    if (slot !== undefined) return slot;
    const leftMs = work.abandonAt - performance.now();
    if (leftMs <= 0 || this.waiters.length >= MAX_WAITING) {
      throw buildOverloaded();
    }
    return this.wait(work, leftMs);
  }

  /** Offers slots that may have become free to the waiting requests. */
  offerSlots(): void {
    for (const waiter of [...this.waiters]) {
      if (!waiter.trySettle()) return;
    }
  }

  private wait<Slot>(work: WaitingWork<Slot>, leftMs: number): Promise<Slot> {
    return new Promise((resolve, reject) => {
      const end = () => {
        clearTimeout(timer);
        work.signal.removeEventListener('abort', handleAbort);
        this.waiters = this.waiters.filter(other => other !== waiter);
      };
      const handleAbort = () =>
        waiter.refuse(
          new SycamoreheadError('caller_gone', 'the caller has gone', {
            ran: 'no',
          }),
        );
      const timer = setTimeout(() => waiter.refuse(buildOverloaded()), leftMs);
      const waiter: Waiter = {
        priority: work.priority,
        trySettle: () => {
          try {
            const slot = work.tryReserveSlot();
            if (slot === undefined) return false;
            end();
            resolve(slot);
          } catch (error) {
            waiter.refuse(toSycamoreheadError(error));
          }
          return true;
        },
        refuse: error => {
          end();
          reject(error);
        },
      };
      work.signal.addEventListener('abort', handleAbort, {once: true});
      this.insert(waiter);
    });
  }

  private insert(waiter: Waiter): void {
    const index = this.waiters.findIndex(
      ({priority}) => priority > waiter.priority,
    );
    this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter);
  }
}

function buildOverloaded(): SycamoreheadError {
  return new SycamoreheadError('overloaded', 'no place came free in time', {
    ran: 'no',
  });
}
