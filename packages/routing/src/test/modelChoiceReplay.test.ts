import assert from 'node:assert/strict';
import {test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {AnswerValues} from '../lib/forwarding/AnswerValues.js';
import {chooseModel, isWorthEscalating} from '../lib/forwarding/chooseModel.js';
import {computePressure} from '../lib/forwarding/enginePressure.js';
import {EngineTimePrices} from '../lib/forwarding/EngineTimePrices.js';

/*
 * Replays a burst of long prompts on a pool of engines that has lost two fifths of them. Callers wait for
 * long answers five times as long as for short ones, which share the engines.
 */

const SEEDS = [1, 2, 3];
const RANDOM_RANGE = 1_000_000;
const SERVICE = 'drafts';
const STEP_MS = 10;
const DURATION_MS = 22_000;
const BURST = {fromMs: 4_000, toMs: 10_000, factor: 2};
const LOSS = {fromMs: 4_000, toMs: 12_000, fraction: 0.42};
const ENGINES = 12;
const TOKENS_PER_MS = 57;
/** Time to the first event that does not depend on the prompt, in milliseconds. */
const FIXED_MS = 50;
/** Half of the answers of the small model are too weak; it has a confidence of 5 in them. */
const WEAK = {fraction: 0.5, confidence: 5};
const GOOD_CONFIDENCE = 80;

const MODELS = [
  {name: 'small', pace: 0.3, cost: 0.018, gain: 0},
  {name: 'middle', pace: 0.8, cost: 0.13, gain: 17},
  {name: 'large', pace: 3, cost: 0.27, gain: 55},
];

const ROUTES = [
  {
    route: 'reviews',
    perSecond: 9.7,
    isBursting: true,
    targetLatencyMs: 8_000,
    size: {promptTokens: 12_000, answerTokens: 380},
  },
  {
    route: 'chats',
    perSecond: 27,
    isBursting: false,
    targetLatencyMs: 1_500,
    size: {promptTokens: 830, answerTokens: 290},
  },
  {
    route: 'tags',
    perSecond: 14,
    isBursting: false,
    targetLatencyMs: 2_000,
    size: {promptTokens: 2_400, answerTokens: 22},
  },
];
type ReplayRoute = (typeof ROUTES)[number];

interface Counts {
  asked: number;
  inTime: number;
  good: number;
}

/** What the choice of a larger model takes into account. */
type CountedDelay = 'none' | 'others';

class Replay {
  readonly counts = new Map<string, Counts>();
  private readonly prices = new EngineTimePrices();
  private readonly values = new AnswerValues(10);
  private readonly freeAt = Array.from({length: ENGINES}, () => 0);
  private readonly generator;
  private readonly events: Array<{at: number; run: () => void}> = [];
  private now = 0;

  constructor(
    private readonly counted: CountedDelay,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  run(clock: ReturnType<typeof fakeTimers.install>): void {
    for (; this.now < DURATION_MS; this.now += STEP_MS) {
      clock.tick(STEP_MS);
      for (const route of ROUTES) {
        const factor =
          route.isBursting && isWithin(BURST, this.now) ? BURST.factor : 1;
        const expected = (route.perSecond * factor * STEP_MS) / 1_000;
        if (this.sample() < expected) this.acceptRequest(route);
      }
      const due = this.events.filter(({at}) => at <= this.now);
      for (const event of due) {
        this.events.splice(this.events.indexOf(event), 1);
        event.run();
      }
    }
  }

  private acceptRequest(route: ReplayRoute): void {
    const {size, targetLatencyMs} = route;
    this.values.record(route.route, size);
    const value = this.values.estimateValue(route.route, size);
    this.prices.recordRequest(SERVICE, {
      route: route.route,
      value,
      targetLatencyMs,
    });
    const counts = this.counts.get(route.route) ?? {
      asked: 0,
      inTime: 0,
      good: 0,
    };
    this.counts.set(route.route, counts);
    counts.asked += 1;
    const isWeak = this.sample() < WEAK.fraction;
    const arrivedAt = this.now;
    const deliver = (isGood: boolean) => {
      if (this.now - arrivedAt > targetLatencyMs) return;
      counts.inTime += 1;
      if (isGood) counts.good += 1;
    };
    this.send(route, 'small', () => {
      const choice = this.describeChoice(
        route,
        isWeak ? WEAK.confidence : GOOD_CONFIDENCE,
        this.now - arrivedAt,
      );
      const model = chooseModel('expected_value', choice);
      if (!isWorthEscalating('expected_value', choice)) return deliver(!isWeak);
      this.send(route, model!, () => deliver(model === 'large'));
    });
  }

  private describeChoice(
    {route, size, targetLatencyMs}: ReplayRoute,
    confidence: number,
    elapsedMs: number,
  ) {
    const pendingMs = this.measurePendingMs();
    const timePrice =
      this.counted === 'others'
        ? this.prices.estimatePrice(SERVICE, pendingMs)
        : 0;
    const tokens = size.answerTokens + size.promptTokens / 4;
    return {
      models: MODELS.map(({name, cost, gain, pace}) => {
        const engineMs = computeEngineMs(size.promptTokens, pace);
        return {
          name,
          gain,
          price: (cost * tokens) / 1_000,
          delayCost: engineMs * timePrice,
          isLate: elapsedMs + pendingMs + engineMs > targetLatencyMs,
        };
      }),
      previous: 'small',
      confidence,
      pressure: computePressure(pendingMs, targetLatencyMs),
      answerValue: this.values.estimateValue(route, size),
    };
  }

  private send({size}: ReplayRoute, name: string, onFirst: () => void): void {
    const {pace} = MODELS.find(model => model.name === name)!;
    const engineMs = computeEngineMs(size.promptTokens, pace);
    this.prices.recordSend(SERVICE, engineMs);
    const count = this.countEngines();
    let best = 0;
    for (let index = 1; index < count; index += 1) {
      if (this.freeAt[index]! < this.freeAt[best]!) best = index;
    }
    const firstAt = Math.max(this.now, this.freeAt[best]!) + engineMs;
    this.freeAt[best] = firstAt;
    this.events.push({at: firstAt + FIXED_MS, run: onFirst});
  }

  private measurePendingMs(): number {
    const pending = this.freeAt
      .slice(0, this.countEngines())
      .map(at => Math.max(0, at - this.now));
    return pending.reduce((sum, ms) => sum + ms, 0) / pending.length;
  }

  private countEngines(): number {
    return isWithin(LOSS, this.now)
      ? Math.round(ENGINES * (1 - LOSS.fraction))
      : ENGINES;
  }

  private sample(): number {
    return (
      unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, this.generator) /
      RANDOM_RANGE
    );
  }
}

function computeEngineMs(promptTokens: number, pace: number): number {
  return (promptTokens * pace) / TOKENS_PER_MS;
}

function isWithin(
  {fromMs, toMs}: {fromMs: number; toMs: number},
  at: number,
): boolean {
  return at >= fromMs && at < toMs;
}

function sumReplays(counted: CountedDelay): ReadonlyMap<string, Counts> {
  const totals = new Map<string, Counts>();
  for (const seed of SEEDS) {
    const clock = fakeTimers.install({toFake: ['performance']});
    try {
      const replay = new Replay(counted, seed);
      replay.run(clock);
      for (const [route, {asked, inTime, good}] of replay.counts) {
        const total = totals.get(route) ?? {asked: 0, inTime: 0, good: 0};
        total.asked += asked;
        total.inTime += inTime;
        total.good += good;
        totals.set(route, total);
      }
    } finally {
      clock.uninstall();
    }
  }
  return totals;
}

test('short requests stay in time in a burst of long ones, for which larger models are asked less often', () => {
  const before = sumReplays('none');
  const after = sumReplays('others');
  const figures = JSON.stringify([before, after].map(map => [...map]));
  const [lateBefore, lateAfter] = [before, after].map(totals => {
    const {asked, inTime} = totals.get('chats')!;
    return asked - inTime;
  });
  assert.ok(lateBefore! > 100, figures);
  assert.ok(lateAfter! < lateBefore! / 4, figures);
  // Nearly all long ones are still answered well.
  const {asked, good} = after.get('reviews')!;
  assert.ok(good / asked > 0.9, figures);
});
