import {type Clock, install} from '@sinonjs/fake-timers';

const realSetImmediate = setImmediate;

/**
 * Replaces the runtime's clock with one that is paused. Time passes only in `advance`, which runs
 * the timers one by one and lets pending promises settle in between.
 *
 * @internal
 */
export class PausedClock {
  private readonly clock: Clock & {uninstall(): void} = install({
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'Date',
      'performance',
    ],
  });

  /** Advances the clock. */
  async advance(ms: number): Promise<void> {
    let isOver = false;
    setTimeout(() => (isOver = true), ms);
    await flushPromises();
    while (!isOver) {
      this.clock.next();
      await flushPromises();
    }
  }

  /** Advances the clock until the condition holds, at most by `limitMs`; returns whether it holds. */
  async advanceUntil(
    condition: () => boolean,
    limitMs: number,
    stepMs = 20,
  ): Promise<boolean> {
    const end = performance.now() + limitMs;
    while (!condition() && performance.now() < end) await this.advance(stepMs);
    return condition();
  }

  /** Advances the clock until a promise settles. */
  async settle<Result>(
    promise: Promise<Result>,
    limitMs = 60_000,
  ): Promise<Result> {
    let isSettled = false;
    const markSettled = () => (isSettled = true);
    promise.then(markSettled, markSettled);
    await flushPromises();
    const isInTime = await this.advanceUntil(() => isSettled, limitMs);
    if (!isInTime) throw new Error(`not settled after ${limitMs} ms`);
    return promise;
  }

  /** Restores the runtime's own clock. */
  restore(): void {
    this.clock.uninstall();
  }
}

function flushPromises(): Promise<void> {
  return new Promise(resolve => realSetImmediate(resolve));
}
