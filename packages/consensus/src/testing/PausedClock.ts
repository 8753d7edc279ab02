import {type Clock, install} from '@sinonjs/fake-timers';

const realSetImmediate = setImmediate;

/**
 * The runtime's clock, paused: time passes only in `advance`, which runs one timer after another
 * and lets everything that waits on promises go on in between.
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

  /** Lets time pass. */
  async advance(ms: number): Promise<void> {
    let isOver = false;
    setTimeout(() => (isOver = true), ms);
    await flushPromises();
    while (!isOver) {
      this.clock.next();
      await flushPromises();
    }
  }

  /** Lets time pass until the condition holds, at most `limitMs`; returns whether it holds. */
  async advanceUntil(
    condition: () => boolean,
    limitMs: number,
    stepMs = 20,
  ): Promise<boolean> {
    const end = performance.now() + limitMs;
    while (!condition() && performance.now() < end) await this.advance(stepMs);
    return condition();
  }

  /** Lets time pass until a promise settles. */
  async settle<Result>(
    promise: Promise<Result>,
    limitMs = 60_000,
  ): Promise<Result> {
    let isSettled = false;
    const note = () => (isSettled = true);
    promise.then(note, note);
    await flushPromises();
    const isInTime = await this.advanceUntil(() => isSettled, limitMs);
    if (!isInTime) throw new Error(`nothing after ${limitMs} ms`);
    return promise;
  }

  /** Gives the runtime its clock back. */
  restore(): void {
    this.clock.uninstall();
  }
}

function flushPromises(): Promise<void> {
  return new Promise(resolve => realSetImmediate(resolve));
}
