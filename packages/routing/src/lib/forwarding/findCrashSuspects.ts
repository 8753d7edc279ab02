/**
 * Crashes within this time of the first of them are one event, in milliseconds. Servers that are lost
 * together are more likely to have their rack or their network in common than a prompt, so an event
 * counts once, and only against segments that were in progress on all of its servers.
 */
const EVENT_MS = 100;
/**
 * Time for which an answer shows that the segments of its prompt are sound, in milliseconds. Crashes
 * that follow within this time do not count against them.
 */
const SURVIVAL_MS = 10_000;
/** Events from which a segment is a suspect, so that evidence for it is asked of all entries. */
const SUSPECT_CRASHES = 2;
/** Events that convict suspects if no others have as many. */
const CLEAR_CRASHES = 3;
/** Events that convict suspects of different crashes at the same time. */
const TIED_CRASHES = 4;
/**
 * Events by which the segment with the most has to differ from another to be told apart from it. The
 * entry that sent the crashing prompt may end before it reports a crash, so one event is no proof.
 */
const DISTINCT_EVENTS = 2;

/** A backend server that crashed, and the prompt segments it may have crashed under. @public */
export interface CrashObservation {
  /** When the crash was first observed, on the monotonic clock, in milliseconds. */
  readonly at: number;
  /** Shared segments of the prompts that the server had just begun to answer, or had yet to. */
  readonly segments: ReadonlySet<string>;
}

/** What is known for and against the segments of prompts. @public */
export interface CrashEvidence {
  readonly crashes: readonly CrashObservation[];
  /**
   * Combinations of segments that already are in quarantine; crashes under all segments of one count
   * against no others.
   */
  readonly quarantined: ReadonlyArray<readonly string[]>;
  /** When an answer to a prompt with the segment was last completed, on the monotonic clock. */
  getSurvivalAt(segment: string): number | undefined;
}

/** Prompt segments under which servers crashed and no answer was completed. @public */
export interface CrashSuspect {
  /**
   * Segments that were in progress at the same crashes, or nearly so, in order. Any of them may be the
   * cause, so only prompts with all of them are suspect.
   */
  readonly segments: readonly string[];
  /** Crashes that count against them; those at the same time count once. */
  readonly crashes: number;
  /** Whether the crashes suffice to convict them. */
  readonly isConvicted: boolean;
}

interface Tally {
  /** Crashes that count against a segment. */
  readonly counted: Set<CrashObservation>;
  /** The events that these crashes belong to, by their index. */
  readonly events: Set<number>;
}

/** Segments with the same crashes. */
interface Group {
  readonly tally: Tally;
  readonly segments: string[];
}

/**
 * Finds the prompt segments under which backend servers crash: those in progress at several crashes,
 * with no answer that acquits them. A segment that is in many prompts is in progress at most crashes,
 * but is also answered.
 *
 * @example
 * ```ts
 * const [worst] = findCrashSuspects(evidence);
 * if (worst?.isConvicted) quarantine(worst.segments);
 * ```
 * @public
 */
export function findCrashSuspects(evidence: CrashEvidence): CrashSuspect[] {
  const groups = groupByCrashes(countCrashes(evidence)).sort(compareGroups);
  const [first] = groups;
  // Crashes of the others may have the same cause; they are judged once it is in quarantine.
  const leaders = groups.filter(group => compareGroups(first!, group) === 0);
  const convicted = findConvicted(leaders, groups);
  const suspects = [...convicted, ...groups].map(group => ({
    segments: [...group.segments].sort(),
    crashes: group.tally.events.size,
    isConvicted:
      convicted.includes(group) && !isCovered(evidence, group.segments),
  }));
  return removeDuplicates(suspects);
}

/** Finds the groups whose crashes convict them, each with those that it cannot be told apart from. */
function findConvicted(
  leaders: readonly Group[],
  groups: readonly Group[],
): Group[] {
  const required = leaders.length > 1 ? TIED_CRASHES : CLEAR_CRASHES;
  return leaders
    .filter(({tally}) => tally.events.size >= required)
    .map(leader => {
      const similar = groups.filter(
        group => countDistinctEvents(leader, group) < DISTINCT_EVENTS,
      );
      const segments = similar.flatMap(group => group.segments);
      return {tally: leader.tally, segments};
    });
}

/** Counts the events that count against the first group and not against the second. */
function countDistinctEvents({tally: one}: Group, {tally: other}: Group) {
  return [...one.events].filter(event => !other.events.has(event)).length;
}

/** Returns whether prompts with all of the segments are in quarantine already. */
function isCovered(
  {quarantined}: CrashEvidence,
  segments: readonly string[],
): boolean {
  return quarantined.some(combination =>
    combination.every(id => segments.includes(id)),
  );
}

/** Keeps the first of the suspects with the same segments. */
function removeDuplicates(suspects: readonly CrashSuspect[]): CrashSuspect[] {
  const known = new Map<string, CrashSuspect>();
  for (const suspect of suspects) {
    const key = suspect.segments.join(',');
    if (!known.has(key)) known.set(key, suspect);
  }
  return [...known.values()];
}

/** Sorts the groups with the most crashes first. */
function compareGroups({tally: one}: Group, {tally: other}: Group): number {
  return (
    other.events.size - one.events.size || other.counted.size - one.counted.size
  );
}

function countCrashes(evidence: CrashEvidence): Map<string, Tally> {
  const tallies = new Map<string, Tally>();
  for (const [index, event] of groupByTime(evidence.crashes).entries()) {
    const [first, ...others] = event;
    for (const segment of first?.segments ?? []) {
      const isShared = others.every(({segments}) => segments.has(segment));
      if (!isShared) continue;
      const counted = event.filter(crash =>
        isCounted(evidence, segment, crash),
      );
      if (counted.length > 0) countEvent(tallies, segment, index, counted);
    }
  }
  return tallies;
}

/** Groups crashes into events, in the order of time. */
function groupByTime(
  crashes: readonly CrashObservation[],
): CrashObservation[][] {
  const events: CrashObservation[][] = [];
  let startedAt = -Infinity;
  for (const crash of [...crashes].sort((one, other) => one.at - other.at)) {
    if (crash.at - startedAt >= EVENT_MS) {
      startedAt = crash.at;
      events.push([]);
    }
    events.at(-1)?.push(crash);
  }
  return events;
}

/** Returns whether neither an answer nor a quarantine explains why a crash does not count. */
function isCounted(
  {quarantined, getSurvivalAt}: CrashEvidence,
  segment: string,
  {at, segments}: CrashObservation,
): boolean {
  const survivedAt = getSurvivalAt(segment) ?? -Infinity;
  if (at <= survivedAt + SURVIVAL_MS) return false;
  return !quarantined.some(
    combination =>
      combination.every(id => segments.has(id)) &&
      (combination.length === 1 || !combination.includes(segment)),
  );
}

function countEvent(
  tallies: Map<string, Tally>,
  segment: string,
  index: number,
  crashes: readonly CrashObservation[],
): void {
  const tally = tallies.get(segment) ?? {
    counted: new Set<CrashObservation>(),
    events: new Set<number>(),
  };
  tallies.set(segment, tally);
  for (const crash of crashes) tally.counted.add(crash);
  tally.events.add(index);
}

/** Groups the suspected segments that were in progress at the same crashes. */
function groupByCrashes(tallies: ReadonlyMap<string, Tally>): Group[] {
  const groups: Group[] = [];
  for (const [segment, tally] of tallies) {
    if (tally.events.size < SUSPECT_CRASHES) continue;
    const group = groups.find(
      ({tally: {counted}}) =>
        counted.size === tally.counted.size &&
        [...counted].every(crash => tally.counted.has(crash)),
    );
    if (group) group.segments.push(segment);
    else groups.push({tally, segments: [segment]});
  }
  return groups;
}
