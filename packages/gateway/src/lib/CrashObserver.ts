import type {CrashReport, SurvivalTable} from '@sycamorehead/fleet';
import {isRequestSegment} from '@sycamorehead/routing';
import {
  ServerRegistration,
  buildIncarnationKey,
  evictOldest,
} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {queryReachability} from './queryReachability.js';
import type {KnownServer} from './KnownServer.js';

const log = createLogger('gateway');

/**
 * Time after the head of an answer within which a crash of its server counts against the request, in
 * milliseconds. An answer that goes on for longer shows that the request is sound.
 */
const BEGINNING_MS = 1_000;
/** Time after its end for which a send that was not answered counts as in progress, in milliseconds. */
const ENDED_MS = 1_000;
/** Time for which an answer shows that its request and the segments of its prompt are sound, in milliseconds. */
const SURVIVAL_MS = 10_000;
/** Time for which the suspensions of a control instance hold if it is not heard again, in milliseconds. */
const SUSPENSION_MS = 2_000;
/** Maximum number of segments whose survival is tracked; the least recent ones are evicted. */
const MAX_SURVIVALS = 20_000;
/** Maximum number of segments in the report of one crash. */
const MAX_SEGMENTS = 96;
/** Maximum number of segments in the log line of a crash. */
const MAX_LISTED = 8;
/** Maximum number of crashes that are kept for reports. */
const MAX_CRASHES = 64;
/** Number of exchanges that carry a crash; several, because a receiver may be lost with it. */
const REPORTS = 20;
/** Maximum number of crashes in one exchange; those that were reported least come first. */
const MAX_REPORTED = 8;

/** One send of a request to a server, as far as it matters when the server crashes. @public */
export interface TrackedSend {
  readonly server: KnownServer;
  /** Ids of the request and of the segments of its prompt that others may share. */
  readonly segments: readonly string[];
  /** When the head of the answer arrived, on the monotonic clock. */
  begunAt: number | undefined;
  endedAt: number | undefined;
  /** Whether an answer was completed or went on for long. */
  hasSurvived: boolean;
}

interface ObservedCrash {
  readonly at: number;
  readonly segments: readonly string[];
  readonly service: string;
  reports: number;
}

/**
 * Observes which requests were in progress on backend servers that crashed, and which were
 * answered. Both are reported to the control instances, which alone know the crashes of all entries.
 *
 * @public
 */
export class CrashObserver {
  private readonly sends = new WeakMap<KnownServer, Set<TrackedSend>>();
  /** Crashes by incarnation. */
  private readonly crashes = new Map<string, ObservedCrash>();
  /** Checks in progress; each resolves to whether the server has crashed. */
  private readonly checks = new Map<KnownServer, Promise<boolean>>();
  /** What the control instances suspect, from the crashes of all entries. */
  private suspects: ReadonlySet<string> = new Set();
  /** Those that are sent to no server for a moment, until they are convicted or not. */
  private suspended: ReadonlySet<string> = new Set();
  private suspendedAt = -Infinity;
  /** When a request, or a prompt with a segment, was last answered, on the monotonic clock. */
  private readonly survivals = new Map<string, number>();

  // Commands.

  /** Records a send; the caller updates what becomes of it. */
  recordSend(server: KnownServer, segments: readonly string[]): TrackedSend {
    const send: TrackedSend = {
      server,
      segments,
      begunAt: undefined,
      endedAt: undefined,
      hasSurvived: false,
    };
    const sends = this.sends.get(server) ?? new Set();
    this.sends.set(server, sends.add(send));
    return send;
  }

  /** Records that no byte of a request was sent, so that it cannot have crashed its server. */
  dropSend(send: TrackedSend): void {
    this.sends.get(send.server)?.delete(send);
  }

  /** Records that an answer goes on; one that has done so for long shows that its request is sound. */
  recordProgress(send: TrackedSend): void {
    const {begunAt, hasSurvived} = send;
    if (hasSurvived || begunAt === undefined) return;
    if (performance.now() - begunAt >= BEGINNING_MS) this.recordSurvival(send);
  }

  /** Records an answer that shows that its request is sound, and the segments of its prompt. */
  recordSurvival(send: TrackedSend): void {
    send.hasSurvived = true;
    this.recordSound(send.segments);
  }

  /** Records an answer that shows that its request is sound, but not that its prompt was read. */
  recordSoundRequest(send: TrackedSend): void {
    this.recordSound(send.segments.filter(isRequestSegment));
  }

  /** Records that requests and segments are sound, so that crashes until now no longer count against them. */
  recordSound(segments: readonly string[]): void {
    const now = performance.now();
    for (const segment of segments) {
      this.survivals.delete(segment);
      this.survivals.set(segment, now);
    }
    evictOldest(this.survivals, MAX_SURVIVALS);
  }

  /** Records that a send is over. */
  recordEnd(send: TrackedSend): void {
    send.endedAt = performance.now();
    const sends = this.sends.get(send.server);
    if (!sends) return;
    for (const other of sends) {
      if (!isInProgress(other, send.endedAt)) sends.delete(other);
    }
  }

  /**
   * Checks whether a server on which a send has failed has crashed, and resolves to the result: its
   * instance then refuses new connections. A single connection that was reset, or a network that was cut,
   * is no crash. Not to be called for a server that leaves.
   */
  checkServer(server: KnownServer): Promise<boolean> {
    if (this.hasCrashed(server)) return Promise.resolve(true);
    const known = this.checks.get(server);
    if (known) return known;
    const suspects = this.listSuspects(server);
    if (suspects.length === 0) return Promise.resolve(false);
    const check = this.runCheck(server, suspects);
    this.checks.set(server, check);
    return check;
  }

  /** Sets what the control instances suspect. */
  setSuspects(suspects: readonly string[]): void {
    this.suspects = new Set(suspects);
  }

  /** Makes all crashes be reported again, to a control instance that may know none of them. */
  resetReports(): void {
    for (const crash of this.crashes.values()) crash.reports = 0;
  }

  /** Records that a control instance has received a report. */
  confirmReport(reported: readonly CrashReport[]): void {
    for (const {incarnation} of reported) {
      const crash = this.crashes.get(incarnation);
      if (crash) crash.reports += 1;
    }
  }

  /** Sets the requests and segments that are sent to no server for a moment. */
  setSuspended(suspended: readonly string[]): void {
    this.suspended = new Set(suspended);
    this.suspendedAt = performance.now();
  }

  // Queries.

  /** Returns whether a request, or a prompt with a segment, is sent to no server at this moment. */
  isSuspended(id: string): boolean {
    const ageMs = performance.now() - this.suspendedAt;
    return ageMs <= SUSPENSION_MS && this.suspended.has(id);
  }

  /** Returns whether the control instances suspect a request, or a segment of prompts. */
  isSuspected(id: string): boolean {
    return this.suspects.has(id);
  }

  /** Lists the crashes that the next exchange is to report. */
  listCrashes(): CrashReport[] {
    const now = performance.now();
    return [...this.crashes]
      .filter(([, {reports}]) => reports < REPORTS)
      .sort(([, one], [, other]) => one.reports - other.reports)
      .slice(0, MAX_REPORTED)
      .map(([incarnation, {at, segments, service}]) => ({
        incarnation,
        ageMs: Math.round(now - at),
        segments,
        service,
      }));
  }

  /** Lists the survivals of suspected segments. */
  listSurvivals(suspects: readonly string[]): SurvivalTable {
    const now = performance.now();
    const table: Record<string, number> = {};
    for (const segment of suspects) {
      const at = this.survivals.get(segment);
      if (at !== undefined) table[segment] = Math.round(now - at);
    }
    return table;
  }

  private async runCheck(
    server: KnownServer,
    suspects: readonly string[],
  ): Promise<boolean> {
    const {registration} = server.listing;
    const at = performance.now();
    try {
      const reachability = await queryReachability(registration.address);
      if (reachability !== 'refused') return false;
      this.recordCrash(registration, at, suspects);
      return true;
    } catch (error) {
      log('check_failed', {server: registration.id, error: String(error)});
      return false;
    } finally {
      this.checks.delete(server);
    }
  }

  private hasCrashed({listing}: KnownServer): boolean {
    return this.crashes.has(buildIncarnationKey(listing.registration));
  }

  private recordCrash(
    registration: ServerRegistration,
    at: number,
    segments: readonly string[],
  ): void {
    const {id, service} = registration;
    const crash = {at, service, segments, reports: 0};
    this.crashes.set(buildIncarnationKey(registration), crash);
    evictOldest(this.crashes, MAX_CRASHES);
    writeDecision('server_crashed', {
      server: id,
      service,
      in_progress: segments.length,
      suspects: segments.slice(0, MAX_LISTED).join(','),
    });
  }

  /**
   * Lists the requests and segments that were in progress on a server and are not known to be sound:
   * those that are suspected already first, then those of answers that had begun.
   */
  private listSuspects(server: KnownServer): string[] {
    const now = performance.now();
    const ids = [...(this.sends.get(server) ?? [])]
      .filter(send => isInProgress(send, now))
      .sort((one, other) => (other.begunAt ?? 0) - (one.begunAt ?? 0))
      .flatMap(({segments}) => segments)
      .filter(id => now - (this.survivals.get(id) ?? -Infinity) > SURVIVAL_MS)
      .sort(
        (one, other) => this.getSuspectRank(one) - this.getSuspectRank(other),
      );
    return [...new Set(ids)].slice(0, MAX_SEGMENTS);
  }

  /** Returns 0 for what the control instances suspect already, and 1 otherwise. */
  private getSuspectRank(id: string): number {
    return this.isSuspected(id) ? 0 : 1;
  }
}

/** Returns whether a crash of its server at the given time would count against a send. */
function isInProgress(
  {begunAt, endedAt, hasSurvived}: TrackedSend,
  now: number,
): boolean {
  if (hasSurvived) return false;
  if (begunAt !== undefined && now - begunAt > BEGINNING_MS) return false;
  return endedAt === undefined || now - endedAt <= ENDED_MS;
}
