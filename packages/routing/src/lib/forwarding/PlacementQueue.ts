import {SycamoreheadError} from '@sycamorehead/schema';

/** Work that waits for a place. @public */
export interface WaitingWork<Place> {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** When waiting no longer helps, on the monotonic clock. */
  readonly abandonAt: number;
  readonly signal: AbortSignal;
  /** Takes a place if one is free now. */
  tryReserveSlot(): Place | undefined;
}

interface Waiter {
  readonly priority: number;
  /** Returns whether it is settled. */
  settle(): boolean;
  refuse(error: SycamoreheadError): void;
}

/** Requests that wait at one entry for one service. */
const MAX_WAITING = 500;

/**
 * Requests of one service that wait for a place, the most urgent first and among equals the one
 * that came first. Whoever has waited as long as it helps is refused at once.
 *
 * @public
 */
export class PlacementQueue {
  private waiters: Waiter[] = [];

  /** Requests that wait. */
  get length(): number {
    return this.waiters.length;
  }

  /**
   * Takes a place, waiting for one if need be.
   *
   * @throws SycamoreheadError `overloaded` where none came free in time, `caller_gone`.
   * @example
   * ```ts
   * const server = await queue.acquire(work);
   * ```
   */
  acquire<Place>(work: WaitingWork<Place>): Promise<Place> {
    const isFirst = !this.waiters.some(
      ({priority}) => priority <= work.priority,
    );
    const place = isFirst ? work.tryReserveSlot() : undefined;
    if (place !== undefined) return Promise.resolve(place);
    const leftMs = work.abandonAt - performance.now();
    if (leftMs <= 0 || this.waiters.length >= MAX_WAITING) {
      return Promise.reject(buildOverloaded());
    }
    return this.wait(work, leftMs);
  }

  /** Offers places that may have come free. */
  offerSlots(): void {
    for (const waiter of [...this.waiters]) {
      if (!waiter.settle()) return;
    }
  }

  private wait<Place>(
    work: WaitingWork<Place>,
    leftMs: number,
  ): Promise<Place> {
    return new Promise((resolve, reject) => {
      const end = () => {
        clearTimeout(timer);
        work.signal.removeEventListener('abort', leave);
        this.waiters = this.waiters.filter(other => other !== waiter);
      };
      const leave = () =>
        waiter.refuse(
          new SycamoreheadError('caller_gone', 'the caller has gone', {
            ran: 'no',
          }),
        );
      const timer = setTimeout(() => waiter.refuse(buildOverloaded()), leftMs);
      const waiter: Waiter = {
        priority: work.priority,
        settle: () => {
          const place = work.tryReserveSlot();
          if (place === undefined) return false;
          end();
          resolve(place);
          return true;
        },
        refuse: error => {
          end();
          reject(error);
        },
      };
      work.signal.addEventListener('abort', leave, {once: true});
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
