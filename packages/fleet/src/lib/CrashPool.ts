import {
  CrashSuspect,
  findCrashSuspects,
  isRequestSegment,
} from '@sycamorehead/routing';
import {evictOldest} from '@sycamorehead/schema';
import type {
  CrashEvidenceReport,
  CrashReport,
  SurvivalTable,
} from './fleetMessages.js';

/** Time for which a crash counts as evidence, in milliseconds. */
const CRASH_EXPIRY_MS = 10 * 60_000;
/** Maximum number of crashes that are retained; the oldest are removed first. */
const MAX_CRASHES = 512;
/** Maximum number of segments that are retained of one crash. */
const MAX_SEGMENTS = 128;
/** Maximum number of segments whose survivals the entries are to report. */
const MAX_SUSPECTS = 64;
/** Maximum number of segments whose survival is retained; the oldest are removed first. */
const MAX_SURVIVALS = 2_000;
/** Time for which each digest repeats a crash or a survival, in milliseconds. */
const FRESH_MS = 15_000;
/** Older crashes in one digest, in turn, so that an instance that has restarted learns all of them. */
const REPEATED_CRASHES = 4;
/**
 * Time from the first report of a crash until it can convict, in milliseconds; several exchanges and
 * digests of a large fleet. Other entries add segments of the crash, or answers that acquit them.
 */
const SETTLING_MS = 1_000;
/** Maximum number of incarnations in a log line. */
const MAX_LISTED = 8;
/** Time for which an evaluation is reused, in milliseconds. */
const EVALUATION_MS = 50;

interface PooledCrash {
  /** The earliest observation, on the monotonic clock. */
  at: number;
  /** When this instance first learned of it, on the monotonic clock. */
  readonly learnedAt: number;
  readonly segments: Set<string>;
  service: string | undefined;
}

interface Evaluation {
  readonly computedAt: number;
  readonly suspects: readonly CrashSuspect[];
}

/**
 * Pools what the entries know of crashed backend servers, in each control instance. Crashes are a
 * union by incarnation, so a report that is lost, repeated or delayed changes nothing, and a crash that
 * several entries observe counts once. Survivals keep the latest time; they are passed on once only,
 * so that their ages do not drift.
 *
 * @public
 */
export class CrashPool {
  private readonly crashes = new Map<string, PooledCrash>();
  /** Reported by entries to this instance; on the monotonic clock, like the next. */
  private readonly survivals = new Map<string, number>();
  /** Reported by other control instances. */
  private readonly othersSurvivals = new Map<string, number>();
  /** The segments in quarantine at the last evaluation. */
  private quarantined: ReadonlySet<string> = new Set();
  private evaluation: Evaluation | undefined;
  private repeatIndex = 0;

  constructor(
    /** Lists the combinations of segments that are in quarantine. */
    private readonly listQuarantined: () => ReadonlyArray<readonly string[]>,
  ) {}

  // Commands.

  /** Adds an entry's report and returns the segments whose survivals it is to report. */
  exchange({crashes = [], survivals = {}}: CrashEvidenceReport): string[] {
    for (const crash of crashes) this.addCrash(crash);
    addSurvivals(this.survivals, survivals);
    const suspects = [...this.listSuspects()]
      .sort((one, other) => other.crashes - one.crashes)
      .flatMap(({segments}) => segments);
    return [...new Set(suspects)].slice(0, MAX_SUSPECTS);
  }

  /** Adds the evidence of another control instance. */
  acceptDigest({crashes = [], survivals = {}}: CrashEvidenceReport): void {
    for (const crash of crashes) this.addCrash(crash);
    addSurvivals(this.othersSurvivals, survivals);
  }

  // Queries.

  /** Describes the evidence for another control instance. */
  describeDigest(): Required<CrashEvidenceReport> {
    this.expireCrashes();
    const now = performance.now();
    const all = [...this.crashes];
    const fresh = all.filter(([, {at}]) => now - at < FRESH_MS);
    const older = all.filter(([, {at}]) => now - at >= FRESH_MS);
    this.repeatIndex %= Math.max(1, older.length);
    const repeated = older.slice(
      this.repeatIndex,
      this.repeatIndex + REPEATED_CRASHES,
    );
    this.repeatIndex += REPEATED_CRASHES;
    // Segments that an answer has acquitted are no suspects here any more, but may be elsewhere.
    const survivals: Record<string, number> = {};
    for (const [segment, at] of this.survivals) {
      if (now - at < FRESH_MS) survivals[segment] = Math.round(now - at);
    }
    return {
      crashes: [...fresh, ...repeated].map(([incarnation, crash]) => ({
        incarnation,
        ageMs: Math.round(now - crash.at),
        segments: [...crash.segments],
        ...(crash.service !== undefined && {service: crash.service}),
      })),
      survivals,
    };
  }

  /** Lists the segments under which servers crashed several times and no answer was completed. */
  listSuspects(): readonly CrashSuspect[] {
    const now = performance.now();
    if (this.evaluation && now - this.evaluation.computedAt < EVALUATION_MS) {
      return this.evaluation.suspects;
    }
    this.expireCrashes();
    this.clearReleased(new Set(this.listQuarantined().flat()));
    const suspects = this.findSuspects([...this.crashes.values()]);
    this.evaluation = {computedAt: now, suspects};
    return suspects;
  }

  /**
   * Lists the suspects whose crashes convict them, both those that all entries have had the time to
   * report and all that are known.
   */
  listConvicted(): CrashSuspect[] {
    const convicted = this.listSuspects().filter(isConvicted);
    if (convicted.length === 0) return [];
    const latest = performance.now() - SETTLING_MS;
    const settled = this.findSuspects(
      [...this.crashes.values()].filter(({learnedAt}) => learnedAt <= latest),
    );
    const keys = new Set(settled.filter(isConvicted).map(buildKey));
    return convicted.filter(suspect => keys.has(buildKey(suspect)));
  }

  /**
   * Lists the requests whose crashes would convict them if all entries had reported, and segments whose
   * combination in quarantine turns out not to be the cause. They are sent to no server until the crashes
   * have settled, since each send may cost another one.
   */
  listSuspended(): string[] {
    const requests = this.listSuspects()
      .filter(isConvicted)
      .flatMap(({segments}) => segments)
      .filter(isRequestSegment);
    return [...requests, ...this.listLoneSegments()];
  }

  /** Lists the most recent servers that crashed while all of the segments were in progress there. */
  listCrashed(suspected: readonly string[]): string[] {
    return [...this.crashes]
      .filter(([, {segments}]) => suspected.every(id => segments.has(id)))
      .map(([incarnation]) => incarnation.split(' ', 1)[0] ?? incarnation)
      .slice(-MAX_LISTED);
  }

  private addCrash(report: CrashReport): void {
    const {incarnation, ageMs, segments, service} = report;
    const learnedAt = performance.now();
    const at = learnedAt - ageMs;
    const known = this.crashes.get(incarnation) ?? {
      at,
      learnedAt,
      segments: new Set(),
      service,
    };
    known.at = Math.min(known.at, at);
    known.service ??= service;
    for (const segment of segments) {
      if (known.segments.size < MAX_SEGMENTS) known.segments.add(segment);
    }
    this.crashes.set(incarnation, known);
    evictOldest(this.crashes, MAX_CRASHES);
  }

  /** Makes crashes from before the end of a quarantine count no longer, as an answer would. */
  private clearReleased(quarantined: ReadonlySet<string>): void {
    for (const segment of this.quarantined) {
      if (!quarantined.has(segment)) {
        addSurvivals(this.survivals, {[segment]: 0});
      }
    }
    this.quarantined = quarantined;
  }

  /**
   * Lists the segments of combinations in quarantine under which, by themselves, a server has crashed a
   * moment ago, or whose crashes convict them. Other segments are not suspended: one that is common is
   * acquitted by answers, which are reported once it is suspected.
   */
  private listLoneSegments(): string[] {
    const combinations = this.listQuarantined().filter(
      combination =>
        combination.length > 1 && !combination.some(isRequestSegment),
    );
    if (combinations.length === 0) return [];
    const suspects = this.listSuspects();
    const suspected = new Set(suspects.flatMap(({segments}) => segments));
    const convicted = new Set(suspects.filter(isConvicted).map(buildKey));
    const latest = performance.now() - SETTLING_MS;
    const unsettled = [...this.crashes.values()].filter(
      ({learnedAt}) => learnedAt > latest,
    );
    const lone = combinations.flatMap(combination =>
      combination.filter(
        id =>
          convicted.has(id) ||
          (suspected.has(id) &&
            unsettled.some(
              ({segments}) =>
                segments.has(id) &&
                !combination.every(other => segments.has(other)),
            )),
      ),
    );
    return [...new Set(lone)];
  }

  private getSurvivalAt(segment: string): number | undefined {
    const own = this.survivals.get(segment) ?? -Infinity;
    const others = this.othersSurvivals.get(segment) ?? -Infinity;
    return Math.max(own, others);
  }

  private findSuspects(crashes: readonly PooledCrash[]): CrashSuspect[] {
    return findCrashSuspects({
      crashes,
      quarantined: this.listQuarantined(),
      getSurvivalAt: segment => this.getSurvivalAt(segment),
    });
  }

  private expireCrashes(): void {
    const oldest = performance.now() - CRASH_EXPIRY_MS;
    for (const [incarnation, {at}] of this.crashes) {
      if (at < oldest) this.crashes.delete(incarnation);
    }
  }
}

function isConvicted(suspect: CrashSuspect): boolean {
  return suspect.isConvicted;
}

function buildKey({segments}: CrashSuspect): string {
  return segments.join(',');
}

function addSurvivals(
  known: Map<string, number>,
  survivals: SurvivalTable,
): void {
  const now = performance.now();
  for (const [segment, ageMs] of Object.entries(survivals)) {
    const at = Math.max(known.get(segment) ?? -Infinity, now - ageMs);
    known.delete(segment);
    known.set(segment, at);
  }
  evictOldest(known, MAX_SURVIVALS);
}
