import type {CrashObservation} from '../lib/forwarding/countCrashes.js';
import {
  CrashSuspect,
  findCrashSuspects,
} from '../lib/forwarding/findCrashSuspects.js';
import {buildRequestSegment} from '../lib/forwarding/requestSegments.js';

/** Time between two steps of the simulation, in milliseconds. */
const STEP_MS = 10;
/** Time between two exchanges of an entry, in milliseconds. */
const EXCHANGE_MS = 200;
/** Time from a crash until it can convict, and until a verdict is in force, in milliseconds. */
const VERDICT_MS = 1_300;
/** Time after which a caller whose request has failed sends it once more, in milliseconds. */
const RETRY_MS = 200;
/** Maximum number of servers that may crash under one request of a caller. */
const MAX_SENDS = 2;
/** Time between two requests with the same crashing content, in milliseconds. */
const REPEAT_MS = 500;
/** Number of crashes after which a request must soon reach no server. */
const CRASHES = 3;
/** Time from the last of these crashes until it must, in milliseconds. */
const TOUCH_MS = 3_000;
/** Time from a crash to the next start of the server, in milliseconds. */
const DOWN_MS = 3_000;

/** Settings of a CrashSimulation. */
export interface CrashSimulationOptions {
  readonly servers: number;
  /** Number of requests that crash the servers that run them and come again and again. */
  readonly crashing: number;
  /** Number of different sound requests, in turn; all are different if it is Infinity. */
  readonly soundContents: number;
  /** Sound requests a second. */
  readonly soundPerSecond: number;
  /** Probability with which a request in progress is missing in the report of a crash. */
  readonly unreportedRate: number;
  /** Crashes a second that no request has caused. */
  readonly otherCrashesPerSecond: number;
}

/** What has come of a simulation. */
export interface CrashSimulationResult {
  /** Convicted requests that are sound. */
  readonly wrongVerdicts: number;
  /** Servers that crashed under each of the requests that crash servers. */
  readonly crashes: readonly number[];
  /** Times that each of them reached a server later than the time allowed after its third crash. */
  readonly lateArrivals: readonly number[];
  /** Crashing requests that were not convicted. */
  readonly missed: number;
}

interface Run {
  readonly id: string;
  readonly cause: number | undefined;
  readonly endsAt: number;
  /** Servers that have crashed under this request of the caller. */
  readonly sends: number;
  readonly isRetry: boolean;
}

interface Server {
  upAt: number;
  runs: Run[];
}

/** Simulates servers that crash under some requests, and the verdicts on what was in progress there. */
export class CrashSimulation {
  private readonly servers: Server[];
  private readonly observations: CrashObservation[] = [];
  private readonly survivals = new Map<string, number>();
  private readonly quarantined = new Map<string, number>();
  private readonly pending: Array<{at: number; run: Run}> = [];
  private readonly crashes: number[];
  private readonly thirdCrashAt: number[] = [];
  private readonly lateArrivals: number[];
  /** What the entries know to be suspected. */
  private suspects: ReadonlySet<string> = new Set();
  /** Requests that the entries send to no server at this moment. */
  private suspended: ReadonlySet<string> = new Set();
  private nextSuspended: ReadonlySet<string> = new Set();
  private soundCount = 0;

  constructor(
    private readonly options: CrashSimulationOptions,
    private readonly random: () => number,
  ) {
    const {servers, crashing} = options;
    this.servers = Array.from({length: servers}, () => ({upAt: 0, runs: []}));
    this.crashes = Array.from({length: crashing}, () => 0);
    this.lateArrivals = [...this.crashes];
  }

  run(durationMs: number): CrashSimulationResult {
    for (let now = 20_000; now < 20_000 + durationMs; now += STEP_MS) {
      this.sendSound(now);
      this.crashes.forEach((unused, cause) => this.sendCrashing(now, cause));
      for (const {run} of this.takeDue(now)) this.sendRun(now, run);
      if (this.pickEvent(this.options.otherCrashesPerSecond)) {
        const up = this.servers.filter(({upAt}) => upAt <= now);
        const server = up[Math.floor(this.random() * up.length)];
        if (server) this.stopServer(now, server);
      }
      this.endRuns(now);
      if (now % EXCHANGE_MS === 0) this.evaluateCrashes(now);
    }
    const ids = [...this.quarantined.keys()];
    const causes = this.crashes.map((unused, cause) => buildCrashingId(cause));
    return {
      wrongVerdicts: ids.filter(id => !causes.includes(id)).length,
      crashes: this.crashes,
      lateArrivals: this.lateArrivals,
      missed: causes.filter(id => !this.quarantined.has(id)).length,
    };
  }

  private sendSound(now: number): void {
    const {soundPerSecond, soundContents} = this.options;
    if (!this.pickEvent(soundPerSecond)) return;
    this.soundCount += 1;
    const id = buildRequestSegment(`sound${this.soundCount % soundContents}`);
    this.sendRun(now, this.buildRun(now, id, undefined, 0, false));
  }

  private sendCrashing(now: number, cause: number): void {
    if ((now + cause * 170) % REPEAT_MS !== 0) return;
    const id = buildCrashingId(cause);
    this.sendRun(now, this.buildRun(now, id, cause, 0, false));
  }

  private takeDue(now: number): Array<{at: number; run: Run}> {
    const due = this.pending.filter(({at}) => at <= now);
    this.pending.splice(
      0,
      this.pending.length,
      ...this.pending.filter(({at}) => at > now),
    );
    return due;
  }

  private buildRun(
    now: number,
    id: string,
    cause: number | undefined,
    sends: number,
    isRetry: boolean,
  ): Run {
    const runMs = 20 + this.random() * 70;
    return {id, cause, endsAt: now + runMs, sends, isRetry};
  }

  private sendRun(now: number, run: Run): void {
    const inForceAt = this.quarantined.get(run.id) ?? Infinity;
    const up = this.servers.filter(({upAt}) => upAt <= now);
    const server = up[Math.floor(this.random() * up.length)];
    if (now >= inForceAt || this.suspended.has(run.id) || !server) return;
    server.runs.push(run);
    if (run.cause === undefined) return;
    const thirdAt = this.thirdCrashAt[run.cause] ?? Infinity;
    if (now > thirdAt + TOUCH_MS) this.lateArrivals[run.cause]! += 1;
  }

  private endRuns(now: number): void {
    for (const server of this.servers) {
      const ended = server.runs.filter(({endsAt}) => endsAt <= now);
      const crashing = ended.find(({cause}) => cause !== undefined);
      if (crashing?.cause !== undefined) {
        this.crashes[crashing.cause]! += 1;
        if (this.crashes[crashing.cause] === CRASHES) {
          this.thirdCrashAt[crashing.cause] = now;
        }
        this.stopServer(now, server);
        continue;
      }
      for (const {id} of ended) this.survivals.set(id, now);
      server.runs = server.runs.filter(({endsAt}) => endsAt > now);
    }
  }

  private stopServer(now: number, server: Server): void {
    const reported = server.runs.filter(
      () => this.random() >= this.options.unreportedRate,
    );
    const segments = new Set(reported.map(({id}) => id));
    this.observations.push({at: now, segments});
    for (const {id, cause, sends, isRetry} of server.runs) {
      const lost = sends + 1;
      const allowed = this.suspects.has(id) ? 1 : MAX_SENDS;
      if (lost < allowed) {
        const run = this.buildRun(now, id, cause, lost, isRetry);
        this.pending.push({at: now + STEP_MS, run});
      } else if (!isRetry) {
        const at = now + RETRY_MS;
        this.pending.push({at, run: this.buildRun(at, id, cause, 0, true)});
      }
    }
    server.runs = [];
    server.upAt = now + DOWN_MS;
  }

  private evaluateCrashes(now: number): void {
    const find = (crashes: readonly CrashObservation[]) =>
      findCrashSuspects({
        crashes,
        quarantined: [...this.quarantined.keys()].map(id => [id]),
        getSurvivalAt: id => this.survivals.get(id),
      });
    const known = find(this.observations);
    this.suspects = new Set(known.flatMap(({segments}) => segments));
    // Entries hear of suspensions later than they are reached.
    this.suspended = this.nextSuspended;
    this.nextSuspended = new Set(listConvicted(known));
    const settled = new Set(
      listConvicted(
        find(this.observations.filter(({at}) => at <= now - VERDICT_MS)),
      ),
    );
    for (const id of listConvicted(known)) {
      if (settled.has(id) && !this.quarantined.has(id)) {
        this.quarantined.set(id, now);
      }
    }
  }

  private pickEvent(perSecond: number): boolean {
    return this.random() < (perSecond * STEP_MS) / 1_000;
  }
}

function listConvicted(suspects: readonly CrashSuspect[]): string[] {
  return suspects
    .filter(({isConvicted}) => isConvicted)
    .flatMap(({segments}) => segments);
}

function buildCrashingId(cause: number): string {
  return buildRequestSegment(`bad${cause}`);
}
