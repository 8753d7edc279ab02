import {getOrCreate} from '@sycamorehead/schema';
import {DecayingSum} from './DecayingSum.js';
import {OutcomeCounts, OutcomeTable, limitNames} from './serviceDemand.js';

/** Time in which outcomes count, in milliseconds. */
const OUTCOME_MS = 4_000;
/** Outcomes from which a fraction is trusted. */
const MIN_OUTCOMES = 4;
/** Served fraction of a kind below which it is starved, relative to that of all requests. */
const KIND_FLOOR = 0.5;
/** Served fraction of a size below which it is starved, relative to that of its kind. */
const SIZE_FLOOR = 0.7;
/** By how much a less urgent kind may be served more often. */
const MAX_OVERTAKING = 0.03;
/** Difference of two average priorities from which one kind is less urgent. */
const PRIORITY_STEP = 0.5;
/** Weight of the newest request in the average priority of a kind. */
const PRIORITY_GAIN = 0.05;
/** Sizes that are kept for each kind, to compare others with. */
const MAX_SIZES = 50;
/** Maximum number of kinds that are tracked. */
const MAX_KINDS = 500;
/** Maximum number of names of which outcomes are kept: kinds, their sizes and their priorities. */
const MAX_OUTCOMES = 1_000;
/** Highest level of priority that has outcomes of its own. */
const MAX_PRIORITY = 10;
/** Fractions of the sizes of a kind that are below those of a size class. */
const SIZE_RANKS = {largest: 0.9, large: 0.7} as const;

/** Where the size of a request stands among those of its kind. @public */
export type SizeClass = keyof typeof SIZE_RANKS | 'usual';

/** What decides how often a request is served. @public */
export interface KindOfRequest {
  readonly kind: string;
  readonly size: SizeClass;
  /** 0 is the most urgent. */
  readonly priority: number;
}

interface KindState {
  /** The sizes of the last requests, written in turn. */
  readonly sizes: number[];
  nextSize: number;
  /** Moving average. */
  priority: number;
}

interface Outcomes {
  readonly ended: DecayingSum;
  readonly served: DecayingSum;
}

/**
 * Tracks how often each kind of request is served, under a load that leaves the less urgent kinds, or
 * the largest requests of a kind, without places for long: those go first until they get their floor.
 *
 * @public
 */
export class KindShares {
  private readonly kinds = new Map<string, KindState>();
  /** Outcomes here by kind, by kind and size, and by kind and priority. */
  private readonly outcomes = new Map<string, Outcomes>();
  private others: OutcomeTable = {};

  // Commands.

  /**
   * Records the size of a request and classifies it among the last ones of its kind.
   *
   * @example
   * ```ts
   * shares.classifySize('drafts', 1, 9_000); // 'largest'
   * ```
   */
  classifySize(kind: string, priority: number, work: number): SizeClass {
    const state = this.getState(kind, priority);
    state.priority += (priority - state.priority) * PRIORITY_GAIN;
    const {sizes} = state;
    const smaller = sizes.filter(size => size < work).length;
    const rank = smaller / Math.max(1, sizes.length);
    sizes[state.nextSize] = work;
    state.nextSize = (state.nextSize + 1) % MAX_SIZES;
    if (rank >= SIZE_RANKS.largest) return 'largest';
    return rank >= SIZE_RANKS.large ? 'large' : 'usual';
  }

  /** Records whether a request got a place. */
  recordOutcome(request: KindOfRequest, isServed: boolean): void {
    const {kind, size, priority} = request;
    const names = [
      kind,
      buildSizeName(kind, size),
      buildLevelName(kind, priority),
    ];
    for (const name of names) {
      const outcomes = this.getOutcomes(name);
      outcomes.ended.add(1);
      if (isServed) outcomes.served.add(1);
    }
  }

  /** Sets the outcomes at the other entries. */
  setOthers(outcomes: OutcomeTable): void {
    this.others = outcomes;
  }

  // Queries.

  /** Returns whether requests of a kind and size are served much less often than others. */
  isStarved(kind: string, size: SizeClass): boolean {
    const fraction = this.computeFraction([kind]) ?? 1;
    const ofSize = this.computeFraction([buildSizeName(kind, size)]);
    if (ofSize !== undefined && ofSize < fraction * SIZE_FLOOR) return true;
    const ofAll = this.computeFraction([...this.kinds.keys()]) ?? 0;
    return fraction < ofAll * KIND_FLOOR || this.isOvertaken(kind, fraction);
  }

  /**
   * Computes the served fraction of requests like this one at all entries: the lowest one of its kind, of
   * its size and of its priority; undefined if too little is known of its kind. Of a priority with few
   * requests, those that are missing count as refused: its kind may be served for a more urgent one.
   */
  computeServed({kind, size, priority}: KindOfRequest): number | undefined {
    const ofKind = this.computeFraction([kind]);
    if (ofKind === undefined) return undefined;
    const ofSize = this.computeFraction([buildSizeName(kind, size)]) ?? ofKind;
    const {ended, served} = this.sumOutcomes([buildLevelName(kind, priority)]);
    return Math.min(ofKind, ofSize, served / Math.max(MIN_OUTCOMES, ended));
  }

  /** Lists the outcomes here. */
  listOutcomes(): OutcomeTable {
    const table: Record<string, readonly [number, number]> = {};
    const now = performance.now();
    for (const [name, {ended, served}] of this.outcomes) {
      table[name] = [
        limitDigits(ended.readAt(now)),
        limitDigits(served.readAt(now)),
      ];
    }
    return limitNames(table, ([ended]) => ended);
  }

  /** Returns whether a less urgent kind is served more often. */
  private isOvertaken(kind: string, fraction: number): boolean {
    const priority = this.kinds.get(kind)?.priority ?? 0;
    for (const [name, other] of this.kinds) {
      if (other.priority <= priority + PRIORITY_STEP) continue;
      const ofOther = this.computeFraction([name]) ?? 0;
      if (ofOther > fraction + MAX_OVERTAKING) return true;
    }
    return false;
  }

  /** Computes the served fraction at all entries; undefined if too little is known. */
  private computeFraction(names: readonly string[]): number | undefined {
    const {ended, served} = this.sumOutcomes(names);
    return ended >= MIN_OUTCOMES ? served / ended : undefined;
  }

  /** Sums the outcomes at all entries. */
  private sumOutcomes(names: readonly string[]) {
    let ended = 0;
    let served = 0;
    for (const name of names) {
      const own = this.outcomes.get(name);
      const [othersEnded, othersServed] = this.findOthers(name);
      ended += (own?.ended.value ?? 0) + othersEnded;
      served += (own?.served.value ?? 0) + othersServed;
    }
    return {ended, served};
  }

  /** Finds the outcomes at the other entries; a kind may be named like what every object has. */
  private findOthers(name: string): OutcomeCounts {
    const known = Object.hasOwn(this.others, name) && this.others[name];
    return known || [0, 0];
  }

  private getOutcomes(name: string): Outcomes {
    return getOrCreate(this.outcomes, name, MAX_OUTCOMES, () => ({
      ended: new DecayingSum(OUTCOME_MS),
      served: new DecayingSum(OUTCOME_MS),
    }));
  }

  private getState(kind: string, priority: number): KindState {
    return getOrCreate<string, KindState>(this.kinds, kind, MAX_KINDS, () => ({
      sizes: [],
      nextSize: 0,
      priority,
    }));
  }
}

function buildLevelName(kind: string, priority: number): string {
  const level = Math.min(MAX_PRIORITY, Math.max(0, Math.round(priority)));
  return `${kind} priority ${level}`;
}

function buildSizeName(kind: string, size: SizeClass): string {
  return `${kind} ${size}`;
}

function limitDigits(value: number): number {
  return Math.round(value * 10) / 10;
}
