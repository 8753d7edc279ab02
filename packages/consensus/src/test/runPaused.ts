import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {RaftNodeOptions} from '../lib/RaftNode.js';
import {FakeGroup, PausedClock, RecordingMachine} from '../testing/index.js';
import {LastCommandMachine} from './LastCommandMachine.js';

const RANGE = 0x7fffffff;

/** A generator of random numbers from a seed. @internal */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  readonly sample = (): number =>
    unsafeUniformIntDistribution(0, RANGE - 1, this.generator) / RANGE;
}

/** Runs a test on a paused clock with seeded random numbers. @internal */
export async function runPaused(
  seed: number,
  body: (clock: PausedClock, random: () => number) => Promise<void>,
): Promise<void> {
  const clock = new PausedClock();
  try {
    await body(clock, new SeededRandom(seed).sample);
  } finally {
    clock.restore();
  }
}

/** Creates a group of recording machines. @internal */
export function createGroup(
  clock: PausedClock,
  random: () => number,
  node: Partial<RaftNodeOptions> = {},
  syncMs = 0,
): FakeGroup<RecordingMachine> {
  const createMachine = () => new RecordingMachine();
  return new FakeGroup({clock, random, createMachine, node, syncMs});
}

/** Creates a group whose state is its last command. @internal */
export function createLastCommandGroup(
  clock: PausedClock,
  random: () => number,
  node: Partial<RaftNodeOptions> = {},
  syncMs = 0,
): FakeGroup<LastCommandMachine> {
  const createMachine = () => new LastCommandMachine();
  return new FakeGroup({clock, random, createMachine, node, syncMs});
}
