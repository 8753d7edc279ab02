import {
  CrashEvidence,
  CrashObservation,
  CrashTally,
  SUSPECT_CRASHES,
  countCrashes,
} from './countCrashes.js';
import {isRequestSegment} from './requestSegments.js';

/** Events that convict a suspect if no other can be the cause instead. */
const CLEAR_CRASHES = 3;
/** Events that convict several suspects that may each be the cause. */
const TIED_CRASHES = 4;
/**
 * Events by which the segment with the most has to differ from another to be told apart from it. The
 * entry that sent the crashing prompt may end before it reports a crash, so one event is no proof.
 */
const DISTINCT_EVENTS = 2;

/** A request or prompt segments under which servers crashed and no answer was completed. @public */
export interface CrashSuspect {
  /**
   * A request by itself; or segments that were in progress at the same crashes, or nearly so, in order.
   * Any of them may be the cause, so only prompts with all of them are suspect.
   */
  readonly segments: readonly string[];
  /** Crashes that count against them; those at the same time count once. */
  readonly crashes: number;
  /** Whether the crashes suffice to convict them. */
  readonly isConvicted: boolean;
}

/** Segments with the same crashes. */
interface Group {
  readonly tally: CrashTally;
  readonly segments: string[];
}

/**
 * Finds the requests and the prompt segments under which backend servers crash: those in progress at
 * several crashes, with no answer that acquits them. A segment that is in many prompts is in progress
 * at most crashes, but is also answered. Where one request explains the crashes, its segments are not
 * convicted for them.
 *
 * @example
 * ```ts
 * const [worst] = findCrashSuspects(evidence);
 * if (worst?.isConvicted) quarantine(worst.segments);
 * ```
 * @public
 */
export function findCrashSuspects(evidence: CrashEvidence): CrashSuspect[] {
  const tallies = [...countCrashes(evidence)];
  const requests = groupByCrashes(
    tallies.filter(([id]) => isRequestSegment(id)),
  );
  const explanations = listExplanations(evidence, requests);
  const groups = groupByCrashes(tallies.filter(([id]) => !isRequestSegment(id)))
    .filter(group => !isExplained(group, explanations))
    .sort(compareGroups);
  const convicted = [
    ...findConvictedRequests(requests),
    ...findConvictedSegments(groups),
  ];
  const suspects = [...convicted, ...splitRequests(requests), ...groups].map(
    group => ({
      segments: [...group.segments].sort(),
      crashes: group.tally.events.length,
      isConvicted:
        convicted.includes(group) && !isCovered(evidence, group.segments),
    }),
  );
  return removeDuplicates(suspects);
}

/**
 * Finds the requests whose crashes convict them. Each is a cause by itself, so those that cannot be
 * told apart are convicted separately, after one more crash.
 */
function findConvictedRequests(groups: readonly Group[]): Group[] {
  const convicted = groups.filter(group => {
    const {events} = group.tally;
    const rivals = groups.filter(
      other =>
        other !== group &&
        other.tally.events.length >= events.length &&
        countDistinctEvents(group.tally, other.tally.counted) < events.length,
    );
    const explained = new Set(rivals.flatMap(({tally}) => [...tally.counted]));
    const isDistinct =
      group.segments.length === 1 &&
      countDistinctEvents(group.tally, explained) >= DISTINCT_EVENTS;
    if (isDistinct) return events.length >= CLEAR_CRASHES;
    // Those with more crashes may explain the crashes of this one.
    const isLeader = rivals.every(
      ({tally}) => tally.events.length === events.length,
    );
    return isLeader && events.length >= TIED_CRASHES;
  });
  return splitRequests(convicted);
}

/** Splits groups of requests into one for each request. */
function splitRequests(groups: readonly Group[]): Group[] {
  return groups.flatMap(({tally, segments}) =>
    segments.map(segment => ({tally, segments: [segment]})),
  );
}

/**
 * Finds the groups of segments whose crashes convict them, each with those that it cannot be told
 * apart from.
 */
function findConvictedSegments(groups: readonly Group[]): Group[] {
  const [first] = groups;
  // Crashes of the others may have the same cause; they are judged once it is in quarantine.
  const leaders = groups.filter(group => compareGroups(first!, group) === 0);
  const required = leaders.length > 1 ? TIED_CRASHES : CLEAR_CRASHES;
  return leaders
    .filter(({tally}) => tally.events.length >= required)
    .map(leader => {
      const similar = groups.filter(
        group =>
          countDistinctEvents(leader.tally, group.tally.counted) <
          DISTINCT_EVENTS,
      );
      const segments = similar.flatMap(group => group.segments);
      return {tally: leader.tally, segments};
    });
}

/** Lists the crashes at which each suspected request, or one in quarantine, was in progress. */
function listExplanations(
  {crashes, quarantined}: CrashEvidence,
  requests: readonly Group[],
): Array<ReadonlySet<CrashObservation>> {
  const known = quarantined.flat().filter(isRequestSegment);
  return [
    ...requests.map(({tally}) => tally.counted),
    ...known.map(
      id => new Set(crashes.filter(({segments}) => segments.has(id))),
    ),
  ];
}

/** Returns whether one request was in progress at nearly all crashes of some segments. */
function isExplained(
  {tally}: Group,
  explanations: ReadonlyArray<ReadonlySet<CrashObservation>>,
): boolean {
  return explanations.some(
    crashes => countDistinctEvents(tally, crashes) < DISTINCT_EVENTS,
  );
}

/** Counts the events that have none of some crashes. */
function countDistinctEvents(
  {events}: CrashTally,
  crashes: ReadonlySet<CrashObservation>,
): number {
  return events.filter(event => !event.some(crash => crashes.has(crash)))
    .length;
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
    other.events.length - one.events.length ||
    other.counted.size - one.counted.size
  );
}

/** Groups the suspected segments that were in progress at the same crashes. */
function groupByCrashes(tallies: ReadonlyArray<[string, CrashTally]>): Group[] {
  const groups: Group[] = [];
  for (const [segment, tally] of tallies) {
    if (tally.events.length < SUSPECT_CRASHES) continue;
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
