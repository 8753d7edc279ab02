import fakeTimers from '@sinonjs/fake-timers';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {choosePreferredServers} from '../lib/forwarding/choosePreferredServers.js';
import {KeptPrompt, buildKeptPrompt} from '../lib/forwarding/KeptPrompts.js';
import {scoreServer} from '../lib/forwarding/scoreServer.js';
import {ServerMemory} from '../lib/forwarding/ServerMemory.js';
import {
  AwaitedStart,
  ServerPace,
  updateTypicalPace,
} from '../lib/forwarding/ServerPace.js';

const RANDOM_RANGE = 1_000_000;
const REPORT_INTERVAL_MS = 200;
const KEPT_FRACTIONS = [0.9, 0.5];
const MODEL = 'm';

/** The load of a replay. */
export interface ReplayLoad {
  readonly entries: number;
  readonly capacity: number;
  /** Prompt tokens that each server reads in a millisecond; a function of the time in ms. */
  readonly speeds: ReadonlyArray<(atMs: number) => number>;
  /** Reading time that the entries assume, in milliseconds of a typical server. */
  readonly msPerToken: number;
  readonly requestsPerSecond: number;
  /** Number of different shared segments. */
  readonly subjects: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly answerMs: number;
  readonly objectiveMs: number;
  readonly durationMs: number;
}

/** What the entries take into account. */
export interface ReplayPolicy {
  readonly weighsMemory: boolean;
  readonly learnsPace: boolean;
}

/** An arrival and what became of it. */
export interface ReplayOutcome {
  readonly at: number;
  readonly server: number;
  readonly firstMs: number;
  readonly readTokens: number;
}

/** An engine that reads prompts one after the other and keeps their segments. */
class ReplayEngine {
  readonly memory = new Map<number, number>();
  freeAt = 0;
  running = 0;
  pendingMs = 0;
  inFlight = 0;
  heldTokens = 0;

  /** Returns the tokens that it has to read, and keeps the segments. */
  read({segments}: KeptPrompt, capacity: number): number {
    let isKept = true;
    let tokens = 0;
    for (const {hash, tokens: length} of segments) {
      isKept &&= this.memory.has(hash);
      if (!isKept) tokens += length;
    }
    for (const {hash, tokens: length} of [...segments].reverse()) {
      this.memory.delete(hash);
      this.memory.set(hash, length);
    }
    let used = [...this.memory.values()].reduce((sum, part) => sum + part, 0);
    for (const [hash, length] of this.memory) {
      if (used + this.heldTokens <= capacity) break;
      this.memory.delete(hash);
      used -= length;
    }
    return tokens;
  }
}

/** What one entry knows of one server. */
interface View {
  readonly memory: ServerMemory;
  readonly pace: ServerPace;
  pendingMs: number;
  inFlight: number;
  othersPendingMs: number;
  othersInFlight: number;
}

/** Replays the same arrivals by a policy, with reports that are up to 200 ms old. */
export function runReplay(
  load: ReplayLoad,
  policy: ReplayPolicy,
  seed: number,
): ReplayOutcome[] {
  const clock = fakeTimers.install({toFake: ['performance']});
  try {
    return new Replay(load, policy, seed, clock).run();
  } finally {
    clock.uninstall();
  }
}

class Replay {
  private readonly engines: ReplayEngine[];
  private readonly views: View[][];
  private readonly ids: string[];
  private readonly outcomes: ReplayOutcome[] = [];
  private readonly events: Array<{at: number; run: () => void}> = [];
  private readonly generator;
  private now = 0;

  constructor(
    private readonly load: ReplayLoad,
    private readonly policy: ReplayPolicy,
    seed: number,
    private readonly clock: ReturnType<typeof fakeTimers.install>,
  ) {
    this.generator = xoroshiro128plus(seed);
    this.engines = load.speeds.map(() => new ReplayEngine());
    this.ids = load.speeds.map((unused, index) => `s${index}`);
    this.views = Array.from({length: load.entries}, () =>
      load.speeds.map(() => ({
        memory: new ServerMemory(60_000),
        pace: new ServerPace(),
        pendingMs: 0,
        inFlight: 0,
        othersPendingMs: 0,
        othersInFlight: 0,
      })),
    );
  }

  run(): ReplayOutcome[] {
    const {durationMs, requestsPerSecond} = this.load;
    const meanGapMs = 1_000 / requestsPerSecond;
    let nextAt = 0;
    for (let count = 0; nextAt < durationMs; count += 1) {
      const subject = Math.floor(this.sample() ** 2 * this.load.subjects);
      const entry = Math.floor(this.sample() * this.load.entries);
      const prompt = this.buildPrompt(subject, count);
      this.schedule(nextAt, () => this.send(entry, prompt));
      nextAt += -Math.log(1 - this.sample()) * meanGapMs;
    }
    for (let at = 0; at < durationMs; at += REPORT_INTERVAL_MS) {
      this.schedule(at, () => this.exchangeReports());
    }
    while (this.events.length > 0) {
      const event = this.events.shift()!;
      this.clock.tick(event.at - this.now);
      this.now = event.at;
      event.run();
    }
    return this.outcomes;
  }

  private buildPrompt(subject: number, count: number): KeptPrompt {
    const {sharedTokens, ownTokens} = this.load;
    return buildKeptPrompt(MODEL, [
      {id: `shared${subject}`, tokens: sharedTokens},
      {id: `own${count}`, tokens: ownTokens},
    ]);
  }

  private send(entry: number, prompt: KeptPrompt): void {
    const {engines, now, load} = this;
    const tokens = load.sharedTokens + load.ownTokens;
    const {index, keptTokens} = this.choose(entry, prompt, tokens);
    const engine = engines[index]!;
    const view = this.views[entry]![index]!;
    const ownMs = (tokens - keptTokens) * load.msPerToken;
    const expectedMs = view.pendingMs + view.othersPendingMs + ownMs;
    const awaited: AwaitedStart = view.pace.recordSend(expectedMs);
    view.pendingMs += ownMs;
    view.inFlight += 1;
    view.memory.reserve(tokens);
    engine.pendingMs += ownMs;
    engine.inFlight += 1;
    engine.heldTokens += tokens;
    const readTokens = engine.read(prompt, load.capacity);
    const startAt = Math.max(now, engine.freeAt);
    const firstAt = startAt + readTokens / load.speeds[index]!(startAt);
    engine.freeAt = firstAt;
    this.schedule(firstAt, () => {
      view.pendingMs -= ownMs;
      engine.pendingMs -= ownMs;
      view.pace.recordStart(awaited);
      view.pace.recordRatio((firstAt - now) / Math.max(1, expectedMs));
      view.memory.kept.recordPrompt(prompt, tokens - keptTokens);
      this.outcomes.push({
        at: now,
        server: index,
        firstMs: firstAt - now,
        readTokens,
      });
    });
    this.schedule(firstAt + load.answerMs, () => {
      view.inFlight -= 1;
      view.memory.release(tokens);
      engine.inFlight -= 1;
      engine.heldTokens -= tokens;
    });
  }

  private choose(entry: number, prompt: KeptPrompt, tokens: number) {
    const {capacity, objectiveMs, msPerToken} = this.load;
    const {weighsMemory, learnsPace} = this.policy;
    const views = this.views[entry]!;
    const shared = `${prompt.segments[0]!.hash}`;
    const {first, second} = choosePreferredServers(shared, this.ids);
    const now = performance.now();
    let best = {index: 0, keptTokens: 0, score: Infinity};
    const isFull = !views.some(({memory}) =>
      memory.hasRoom(capacity, tokens, now),
    );
    views.forEach((view, index) => {
      const preference = [first, second].indexOf(this.ids[index]!);
      const room = weighsMemory
        ? view.memory.countRoom(capacity, now) - tokens
        : Infinity;
      const keptTokens = view.memory.kept.countKept(
        prompt,
        KEPT_FRACTIONS[preference] ?? 0,
        room,
        now,
      );
      const isPassedOver =
        weighsMemory && !isFull && !view.memory.hasRoom(capacity, tokens, now);
      if (isPassedOver) return;
      const ownMs = (tokens - keptTokens) * msPerToken;
      const score = scoreServer('estimated', {
        load: view.inFlight + view.othersInFlight,
        slots: 64,
        pendingMs: view.pendingMs + view.othersPendingMs,
        ownMs,
        isSameDataCentre: true,
        isSilent: false,
        slowness: learnsPace ? view.pace.slowness : 1,
        displacedMs: ownMs * view.memory.kept.estimateDisplacement(room),
        objectiveMs: weighsMemory ? objectiveMs : undefined,
      });
      if (score < best.score) best = {index, keptTokens, score};
    });
    return best;
  }

  private exchangeReports(): void {
    this.engines.forEach((engine, index) => {
      const views = this.views.map(entry => entry[index]!);
      const reads = views.map(({memory}) => memory.kept.describeRead());
      const news = views.map(({memory}) => memory.kept.takeNews(8));
      const paces = views.map(({pace}) => pace.describeOwn());
      views.forEach((view, own) => {
        const sumOthers = (numbers: number[]) =>
          numbers.reduce(
            (sum, number, other) => (other === own ? sum : sum + number),
            0,
          );
        view.othersPendingMs = engine.pendingMs - view.pendingMs;
        view.othersInFlight = engine.inFlight - view.inFlight;
        view.memory.setOthersHeld(engine.heldTokens - view.memory.ownTokens);
        view.memory.kept.setOthersRead(sumOthers(reads));
        if (this.policy.weighsMemory) {
          const others = news.filter((unused, other) => other !== own);
          view.memory.kept.recordNews(others.flat());
        }
        view.pace.setOthers(
          sumOthers(paces.map(({answers}) => answers)),
          sumOthers(paces.map(({logRatios}) => logRatios)),
        );
      });
    });
    for (const views of this.views) {
      updateTypicalPace(views.map(({pace}) => pace));
    }
  }

  private schedule(at: number, run: () => void): void {
    let index = this.events.length;
    while (index > 0 && this.events[index - 1]!.at > at) index -= 1;
    this.events.splice(index, 0, {at, run});
  }

  private sample(): number {
    return (
      unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, this.generator) /
      RANDOM_RANGE
    );
  }
}
