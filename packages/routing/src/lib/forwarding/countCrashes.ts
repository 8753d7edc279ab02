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
export const SUSPECT_CRASHES = 2;

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
   * Requests and combinations of segments that already are in quarantine. Crashes under all segments of
   * a combination count against no others.
   */
  readonly quarantined: ReadonlyArray<readonly string[]>;
  /** When an answer to a prompt with the segment was last completed, on the monotonic clock. */
  getSurvivalAt(segment: string): number | undefined;
}

/** The crashes that count against one suspect. @internal */
export interface CrashTally {
  /** Crashes that count against it. */
  readonly counted: Set<CrashObservation>;
  /** The same crashes by event. */
  readonly events: CrashObservation[][];
}

/**
 * Counts the crashes that count against each request and each segment that was in progress at several.
 *
 * @example
 * ```ts
 * countCrashes(evidence).get('5c1e07a2')?.events.length; // 3
 * ```
 * @internal
 */
export function countCrashes(evidence: CrashEvidence): Map<string, CrashTally> {
  const tallies = new Map<string, CrashTally>();
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
  tallies: Map<string, CrashTally>,
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
