import {setTimeout as sleep} from 'node:timers/promises';

/** Calls `send` each `intervalMs` until `durationMs` have passed, and waits for all of the calls. */
export async function sendAtIntervals(
  intervalMs: number,
  durationMs: number,
  send: () => Promise<void>,
): Promise<void> {
  const end = performance.now() + durationMs;
  const pending: Array<Promise<void>> = [];
  while (performance.now() < end) {
    pending.push(send());
    await sleep(intervalMs);
  }
  await Promise.all(pending);
}
