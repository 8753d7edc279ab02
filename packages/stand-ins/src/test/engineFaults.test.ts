import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EngineFaults} from '../lib/engineFaults.js';
import {StandInEngine} from '../lib/StandInEngine.js';

const TOKENS_BEFORE = 3;
const VERSION = {model: 'm', version: 'v1'};

const FAULTS: Readonly<Record<string, Partial<EngineFaults>>> = {
  reset: {resetAfterTokens: TOKENS_BEFORE},
  'cut short': {truncateAfterTokens: TOKENS_BEFORE},
  silent: {silentAfterTokens: TOKENS_BEFORE},
};

/** Stops the machine for a moment after each step, so that the next one is due before any event. */
function pauseMachine(faults: EngineFaults): void {
  const {silentAfterTokens} = faults;
  const pause = () => {
    const end = performance.now() + 5;
    while (performance.now() < end);
  };
  Object.defineProperty(faults, 'silentAfterTokens', {
    get: () => {
      queueMicrotask(pause);
      return silentAfterTokens;
    },
  });
}

for (const [name, faults] of Object.entries(FAULTS)) {
  test(`an engine whose answer is ${name} works on it no more, however late its machine is`, async () => {
    const engine = new StandInEngine({
      id: 'e1',
      dataCentre: 'a',
      serverKey: 'k',
      entries: [],
      versions: [VERSION],
      speed: {slots: 4, prefillTokensPerMs: 100, stepMs: 1, stepMsPerJob: 0},
      fencing: 'checked',
    });
    Object.assign(engine.faults, faults);
    pauseMachine(engine.faults);
    const url = await engine.start();
    try {
      const sent = fetch(`${url}/v1/chat/completions`, {
        method: 'POST',
        headers: {'x-request-id': 'r1'},
        body: JSON.stringify({
          model: 'm/v1',
          stream: true,
          messages: [{role: 'user', content: 'hello'}],
        }),
      }).then(answer => answer.text());
      sent.catch(() => {});
      while ((engine.runs[0]?.tokens ?? 0) <= TOKENS_BEFORE) await sleep(1);
      await sleep(50);
      assert.equal(engine.runs[0]?.tokens, TOKENS_BEFORE + 1);
      assert.equal(engine.runs[0]?.outcome, 'faulted');
    } finally {
      await engine.stop();
    }
  });
}
