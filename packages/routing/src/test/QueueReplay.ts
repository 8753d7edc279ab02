import type FakeTimers from '@sinonjs/fake-timers';
import {SycamoreheadError} from '@sycamorehead/schema';
import {PlacementQueue} from '../lib/forwarding/PlacementQueue.js';
import {QueuePolicy} from '../lib/forwarding/QueuePolicy.js';
import {NO_DEMAND} from '../lib/forwarding/serviceDemand.js';

/** A kind of request that callers send. */
export interface ReplayedKind {
  readonly name: string;
  readonly priority: number;
  /** Time for which it holds its place, in milliseconds. */
  readonly holdMs: number;
  readonly targetMs: number;
  /** Time in which it has to be sent to be answered in time; `targetMs` unless it is given. */
  readonly startMs?: number;
  /** Time for which it waits if no places come free; `targetMs` unless it is given. */
  readonly reviewMs?: number;
  readonly work?: number;
  readonly customer?: string;
  readonly needs?: string;
  readonly session?: string;
}

export interface ReplayedRequest {
  readonly kind: ReplayedKind;
  readonly customer: string;
  readonly work: number;
  readonly sentAt: number;
  endedAt?: number;
  outcome?: 'in time' | 'late' | 'refused';
  retryAfterMs?: number;
}

/** Numbers in [0, 1) that repeat from run to run. */
export function createSequence(seed = 1): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Replays a load on one queue whose places are counted here, with fake timers. */
export class QueueReplay {
  readonly requests: ReplayedRequest[] = [];
  readonly queue: PlacementQueue;
  readonly random: () => number;
  /** Places that were free while requests waited, times the milliseconds. */
  idleMs = 0;
  private readonly free = new Map<string, number>();

  constructor(
    private readonly clock: ReturnType<typeof FakeTimers.install>,
    places: number | Readonly<Record<string, number>>,
    seed = 1,
  ) {
    this.random = createSequence(seed);
    this.queue = new PlacementQueue(new QueuePolicy(this.random));
    const byNeeds = typeof places === 'number' ? {'': places} : places;
    for (const [needs, count] of Object.entries(byNeeds)) {
      this.free.set(needs, count);
    }
  }

  send(
    kind: ReplayedKind,
    customer = kind.customer ?? 'c',
    work = kind.work ?? 1,
  ): ReplayedRequest {
    const now = performance.now();
    const request: ReplayedRequest = {kind, customer, work, sentAt: now};
    this.requests.push(request);
    const needs = kind.needs ?? '';
    const placed = this.queue.acquire({
      priority: kind.priority,
      customer,
      session: kind.session,
      kind: kind.name,
      work,
      draw: this.random(),
      needs,
      size: work,
      startBy: now + (kind.startMs ?? kind.targetMs),
      abandonAt: now + kind.targetMs,
      reviewAt: now + (kind.reviewMs ?? kind.targetMs),
      deadlineAt: now + 5 * kind.targetMs,
      signal: new AbortController().signal,
      tryReserveSlot: () => {
        const left = this.free.get(needs) ?? 0;
        if (left === 0) return undefined;
        this.free.set(needs, left - 1);
        return true;
      },
    });
    void placed.then(
      () => {
        request.endedAt = performance.now();
        const isInTime = request.endedAt - now <= kind.targetMs;
        request.outcome = isInTime ? 'in time' : 'late';
        setTimeout(() => this.release(needs), kind.holdMs);
      },
      (error: SycamoreheadError) => {
        request.endedAt = performance.now();
        request.outcome = 'refused';
        request.retryAfterMs = error.retryAfterMs;
      },
    );
    return request;
  }

  /** Lets callers send kinds at rates per second, each at random times, for a while. */
  async run(
    rates: ReadonlyArray<readonly [ReplayedKind, number]>,
    durationMs: number,
    decorate: (kind: ReplayedKind) => {
      customer?: string;
      work?: number;
    } = () => ({}),
  ): Promise<void> {
    const stepMs = 10;
    for (let ms = 0; ms < durationMs; ms += stepMs) {
      for (const [kind, perSecond] of rates) {
        let expected = (perSecond * stepMs) / 1_000;
        for (; this.random() < expected; expected -= 1) {
          const {customer, work} = decorate(kind);
          this.send(kind, customer, work);
        }
      }
      await this.clock.tickAsync(stepMs);
      if (ms % 100 === 0) this.queue.updateOthers(NO_DEMAND);
      const free = this.free.get('') ?? 0;
      if (this.queue.length > 0) this.idleMs += free * stepMs;
    }
  }

  release(needs = ''): void {
    this.free.set(needs, (this.free.get(needs) ?? 0) + 1);
    this.queue.recordFreed();
  }

  /** Computes the fraction of requests with these outcomes among those that match. */
  computeFraction(
    outcomes: ReadonlyArray<ReplayedRequest['outcome']>,
    matches: (request: ReplayedRequest) => boolean = () => true,
  ): number {
    const matching = this.requests.filter(matches);
    const counted = matching.filter(({outcome}) => outcomes.includes(outcome));
    return counted.length / Math.max(1, matching.length);
  }
}
