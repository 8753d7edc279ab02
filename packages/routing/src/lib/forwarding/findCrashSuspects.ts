import {isRequestSegment} from './requestSegments.js';

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
/** Events that convict a suspect if no other can be the cause instead. */
const CLEAR_CRASHES = 3;
/** Events that convict several suspects that may each be the cause. */
const TIED_CRASHES = 4;
/**
 * Events by which the segment with the most has to differ from another to be told apart from it. The
 * entry that sent the crashing prompt may end before it reports a crash, so one event is no proof.
 */
const DISTINCT_EVENTS = 2;

/** A backend server that crashed, and what it may have crashed under. @public */
export interface CrashObservation {
  /** When the crash was first observed, on the monotonic clock, in milliseconds. */
  readonly at: number;
  /**
   * The requests that the server had just begun to answer, or had yet to, and the shared segments of
   * their prompts.
   */
  readonly segments: ReadonlySet<string>;
  /** Service of the server; undefined if it is not known. */
  readonly service?: string | undefined;
}

/** What is known for and against requests and the segments of prompts. @public */
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

interface Tally {
  /** Crashes that count against a segment. */
  readonly counted: Set<CrashObservation>;
  /** The same crashes by event. */
  readonly events: CrashObservation[][];
}

/** Segments with the same crashes. */
interface Group {
  readonly tally: Tally;
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
  {events}: Tally,
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

function countCrashes(evidence: CrashEvidence): Map<string, Tally> {
  const tallies = new Map<string, Tally>();
  // Whether a request in quarantine explains the crashes of another suspect is decided for all of them.
  const quarantined = evidence.quarantined.filter(
    combination => !combination.some(isRequestSegment),
  );
  const judged = {...evidence, quarantined};
  const repeated = listRepeated(evidence.crashes);
  for (const event of groupByTime(evidence.crashes)) {
    const ids = new Set(event.flatMap(({segments}) => [...segments]));
    for (const id of ids) {
      if (!repeated.has(id)) continue;
      for (const crashes of splitEvent(event, id)) {
        const counted = crashes.filter(crash => isCounted(judged, id, crash));
        if (counted.length > 0) countEvent(tallies, id, counted);
      }
    }
  }
  return tallies;
}

/** Lists the segments that were in progress at enough crashes for a suspect; most were at one only. */
function listRepeated(
  crashes: readonly CrashObservation[],
): ReadonlySet<string> {
  const counts = new Map<string, number>();
  const repeated = new Set<string>();
  for (const {segments} of crashes) {
    for (const id of segments) {
      const count = (counts.get(id) ?? 0) + 1;
      counts.set(id, count);
      if (count >= SUSPECT_CRASHES) repeated.add(id);
    }
  }
  return repeated;
}

/**
 * Splits an event into those that count against a segment by themselves. A request counts at each crash:
 * one that many callers send is on several servers that are lost together, but is also answered.
 */
function splitEvent(
  event: CrashObservation[],
  id: string,
): CrashObservation[][] {
  const crashes = event.filter(({segments}) => segments.has(id));
  if (isRequestSegment(id)) return crashes.map(crash => [crash]);
  return crashes.length === event.length ? [event] : [];
}

/** Groups the crashes of each service into events, in the order of time. */
function groupByTime(
  crashes: readonly CrashObservation[],
): CrashObservation[][] {
  const events: CrashObservation[][] = [];
  const latest = new Map<string | undefined, CrashObservation[]>();
  for (const crash of [...crashes].sort((one, other) => one.at - other.at)) {
    const event = latest.get(crash.service);
    if (event?.[0] && crash.at - event[0].at < EVENT_MS) {
      event.push(crash);
      continue;
    }
    const started = [crash];
    latest.set(crash.service, started);
    events.push(started);
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
  id: string,
  crashes: CrashObservation[],
): void {
  const tally = tallies.get(id) ?? {
    counted: new Set<CrashObservation>(),
    events: [],
  };
  tallies.set(id, tally);
  for (const crash of crashes) tally.counted.add(crash);
  tally.events.push(crashes);
}

/** Groups the suspected segments that were in progress at the same crashes. */
function groupByCrashes(tallies: ReadonlyArray<[string, Tally]>): Group[] {
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
