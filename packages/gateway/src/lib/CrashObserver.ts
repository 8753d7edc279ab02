import type {CrashReport, SurvivalTable} from '@sycamorehead/fleet';
import {
  ServerRegistration,
  buildIncarnationKey,
  evictOldest,
} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {queryReachability} from './queryReachability.js';
import type {KnownServer} from './ServerTable.js';

const log = createLogger('gateway');

/**
 * Time after the head of an answer within which a crash of its server counts against the prompt, in
 * milliseconds. An answer that goes on for longer shows that the prompt is sound.
 */
const BEGINNING_MS = 1_000;
/** Time after its end for which a send that was not answered counts as in progress, in milliseconds. */
const ENDED_MS = 1_000;
/** Time for which an answer shows that the segments of its prompt are sound, in milliseconds. */
const SURVIVAL_MS = 10_000;
/** Maximum number of segments whose survival is tracked; the least recent ones are evicted. */
const MAX_SURVIVALS = 20_000;
/** Maximum number of segments in the report of one crash. */
const MAX_SEGMENTS = 32;
/** Maximum number of crashes that are kept for reports. */
const MAX_CRASHES = 64;
/** Number of exchanges that carry a crash; several, because a receiver may be lost with it. */
const REPORTS = 20;
/** Maximum number of crashes in one exchange; those that were reported least come first. */
const MAX_REPORTED = 8;

/** One send of a prompt to a server, as far as it matters when the server crashes. @public */
export interface PromptSend {
  readonly server: KnownServer;
  /** Ids of the segments that other prompts may share. */
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
  reports: number;
}

/**
 * Observes which prompts were in progress on backend servers that crashed, and which prompts were
 * answered. Both are reported to the control instances, which alone know the crashes of all entries.
 *
 * @public
 */
export class CrashObserver {
  private readonly sends = new WeakMap<KnownServer, Set<PromptSend>>();
  /** Crashes by incarnation. */
  private readonly crashes = new Map<string, ObservedCrash>();
  private readonly checks = new Set<KnownServer>();
  /** When a prompt with a segment was last answered, on the monotonic clock. */
  private readonly survivals = new Map<string, number>();

  // Commands.

  /** Records a send; the caller updates what becomes of it. */
  recordSend(server: KnownServer, segments: readonly string[]): PromptSend {
    const send: PromptSend = {
      server,
      segments,
      begunAt: undefined,
      endedAt: undefined,
      hasSurvived: false,
    };
    if (segments.length === 0) return send;
    const sends = this.sends.get(server) ?? new Set();
    this.sends.set(server, sends.add(send));
    return send;
  }

  /** Records that no byte of a prompt was sent, so that it cannot have crashed its server. */
  dropSend(send: PromptSend): void {
    this.sends.get(send.server)?.delete(send);
  }

  /** Records that an answer goes on; one that has done so for long shows that its prompt is sound. */
  recordProgress(send: PromptSend): void {
    const {begunAt, hasSurvived} = send;
    if (hasSurvived || begunAt === undefined) return;
    if (performance.now() - begunAt >= BEGINNING_MS) this.recordSurvival(send);
  }

  /** Records an answer that shows that the segments of its prompt are sound. */
  recordSurvival(send: PromptSend): void {
    send.hasSurvived = true;
    this.recordSound(send.segments);
  }

  /** Records that prompts with the segments are sound, so that crashes until now no longer count against them. */
  recordSound(segments: readonly string[]): void {
    const now = performance.now();
    for (const segment of segments) {
      this.survivals.delete(segment);
      this.survivals.set(segment, now);
    }
    evictOldest(this.survivals, MAX_SURVIVALS);
  }

  /** Records that a send is over. */
  recordEnd(send: PromptSend): void {
    send.endedAt = performance.now();
    const sends = this.sends.get(send.server);
    if (!sends) return;
    for (const other of sends) {
      if (!isInProgress(other, send.endedAt)) sends.delete(other);
    }
  }

  /**
   * Checks whether a server on which a send has failed has crashed: its instance then refuses new
   * connections. A single connection that was reset, or a network that was cut, is no crash.
   * Not to be called for a server that leaves.
   */
  async checkServer(server: KnownServer): Promise<void> {
    const {registration} = server.listing;
    const segments = this.listSuspects(server);
    const isDone = this.crashes.has(buildIncarnationKey(registration));
    if (isDone || segments.length === 0) return;
    if (this.checks.has(server)) return;
    this.checks.add(server);
    const at = performance.now();
    try {
      const reachability = await queryReachability(registration.address);
      if (reachability === 'refused') {
        this.recordCrash(registration, at, segments);
      }
    } catch (error) {
      log('check_failed', {server: registration.id, error: String(error)});
    } finally {
      this.checks.delete(server);
    }
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

  // Queries.

  /** Lists the crashes that the next exchange is to report. */
  listCrashes(): CrashReport[] {
    const now = performance.now();
    return [...this.crashes]
      .filter(([, {reports}]) => reports < REPORTS)
      .sort(([, one], [, other]) => one.reports - other.reports)
      .slice(0, MAX_REPORTED)
      .map(([incarnation, {at, segments}]) => ({
        incarnation,
        ageMs: Math.round(now - at),
        segments,
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

  private recordCrash(
    registration: ServerRegistration,
    at: number,
    segments: readonly string[],
  ): void {
    this.crashes.set(buildIncarnationKey(registration), {
      at,
      segments,
      reports: 0,
    });
    evictOldest(this.crashes, MAX_CRASHES);
    writeDecision('server_crashed', {
      server: registration.id,
      service: registration.service,
      suspects: segments.join(','),
    });
  }

  /**
   * Lists the segments that were in progress on a server and are not known to be sound, those of
   * answers that had begun first.
   */
  private listSuspects(server: KnownServer): string[] {
    const now = performance.now();
    const sends = [...(this.sends.get(server) ?? [])]
      .filter(send => isInProgress(send, now))
      .sort((one, other) => (other.begunAt ?? 0) - (one.begunAt ?? 0));
    const suspects = new Set<string>();
    for (const segment of sends.flatMap(({segments}) => segments)) {
      const survivedAt = this.survivals.get(segment) ?? -Infinity;
      if (now - survivedAt > SURVIVAL_MS) suspects.add(segment);
    }
    return [...suspects].slice(0, MAX_SEGMENTS);
  }
}

/** Returns whether a crash of its server at the given time would count against a send. */
function isInProgress(
  {begunAt, endedAt, hasSurvived}: PromptSend,
  now: number,
): boolean {
  if (hasSurvived) return false;
  if (begunAt !== undefined && now - begunAt > BEGINNING_MS) return false;
  return endedAt === undefined || now - endedAt <= ENDED_MS;
}
