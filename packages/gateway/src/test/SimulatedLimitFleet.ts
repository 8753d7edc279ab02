import type {Clock} from '@sinonjs/fake-timers';
import {EntryReports, ExchangeReply} from '@sycamorehead/fleet';
import type {ServerRegistration} from '@sycamorehead/schema';
import {ServerLimits} from '../lib/ServerLimits.js';
import {describeServer} from './FakeServer.js';

const STEP_MS = 5;
const EXCHANGE_MS = 100;
const ONE_WAY_MS = 3;
/** Time from a send until its answer, in milliseconds. */
const ANSWER_MS = 50;
const MS_PER_SECOND = 1_000;

/** Settings of a SimulatedLimitFleet. */
export interface SimulatedLimitFleetOptions {
  readonly clock: Clock;
  readonly entries: number;
  readonly controls: number;
  /** Time between two digests of a control instance, in milliseconds. */
  readonly digestMs: number;
  readonly random: () => number;
  /** Probability with which a message between our own processes is lost. */
  readonly lossRate?: number;
}

interface SimulatedEntry {
  limits: ServerLimits;
  /** Whether it runs; a frozen entry neither sends nor exchanges. */
  isRunning: boolean;
  readonly control: number;
  readonly exchangeOffsetMs: number;
}

interface PlannedEvent {
  readonly at: number;
  run(): void;
}

/**
 * The entries of a fleet in front of one server with a limit, and others that take what it does not.
 * Only the decisions are real; messages and servers are simulated.
 */
export class SimulatedLimitFleet {
  /** When requests reached the server with the limit. */
  readonly arrivals: number[] = [];
  /** What the server names in its answers; undefined for no limit. */
  perSecond: number | undefined;
  /** Requests of callers a second, at all entries together. */
  requestsPerSecond = 0;
  /** Whether the control instances answer. */
  isControlReachable = true;
  readonly entries: SimulatedEntry[] = [];
  private controls: EntryReports[] = [];
  private events: PlannedEvent[] = [];
  private readonly server: ServerRegistration = describeServer(
    's1',
    '10.0.0.1:80',
  ).registration;

  constructor(private readonly options: SimulatedLimitFleetOptions) {
    this.restartControls();
    for (let index = 0; index < options.entries; index += 1) this.addEntry();
  }

  /** Adds an entry that knows nothing. */
  addEntry(): void {
    const {random, controls} = this.options;
    this.entries.push({
      limits: new ServerLimits(),
      isRunning: true,
      control: this.entries.length % controls,
      exchangeOffsetMs:
        Math.floor((random() * EXCHANGE_MS) / STEP_MS) * STEP_MS,
    });
  }

  /** Replaces an entry by one that knows nothing. */
  restartEntry(index: number): void {
    const entry = this.entries[index];
    if (entry) entry.limits = new ServerLimits();
  }

  /** Replaces all control instances by ones that know nothing. */
  restartControls(): void {
    const {controls} = this.options;
    this.controls = Array.from(
      {length: controls},
      (_, index) =>
        new EntryReports({
          instance: `c${index}`,
          incarnation: `c${index} ${performance.now()}`,
          countControls: () => controls,
          listQuarantined: () => [],
        }),
    );
  }

  /** Lets time pass. */
  run(durationMs: number): void {
    const end = performance.now() + durationMs;
    while (performance.now() < end) this.runStep();
  }

  /** Returns the most requests that the server got in some time after a moment. */
  countMost(windowMs: number, after: number): number {
    const times = this.arrivals.filter(at => at >= after);
    let most = 0;
    let first = 0;
    times.forEach((at, index) => {
      while ((times[first] ?? at) <= at - windowMs) first += 1;
      most = Math.max(most, index - first + 1);
    });
    return most;
  }

  /** Returns the requests a second that the server got since a moment. */
  measureRate(since: number): number {
    const count = this.arrivals.filter(at => at >= since).length;
    return (count * MS_PER_SECOND) / (performance.now() - since);
  }

  private runStep(): void {
    this.options.clock.tick(STEP_MS);
    const now = performance.now();
    const due = this.events.filter(({at}) => at <= now);
    this.events = this.events.filter(({at}) => at > now);
    for (const event of due) event.run();
    for (const entry of this.entries) {
      const phase = (now - entry.exchangeOffsetMs) % EXCHANGE_MS;
      if (entry.isRunning && phase < STEP_MS) this.exchange(entry);
    }
    if (now % this.options.digestMs < STEP_MS) this.exchangeDigests();
    const expected = (this.requestsPerSecond * STEP_MS) / MS_PER_SECOND;
    let count = Math.floor(expected + this.options.random());
    for (; count > 0; count -= 1) this.receiveRequest();
  }

  private receiveRequest(): void {
    const {random} = this.options;
    const entry = this.entries[Math.floor(random() * this.entries.length)];
    if (!entry?.isRunning) return;
    const {limits} = entry;
    limits.recordDemand(this.server.service);
    limits.advance(this.server);
    if (!limits.isPermitted(this.server)) return;
    // Without a limit, it is one of many servers.
    if (!limits.isLimited(this.server) && random() > 0.1) return;
    limits.takePermit(this.server);
    const sentAt = performance.now();
    this.plan(ONE_WAY_MS, () => {
      this.arrivals.push(performance.now());
      const {perSecond} = this;
      this.plan(ANSWER_MS, () =>
        limits.record(
          this.server,
          perSecond === undefined ? {type: 'none'} : {type: 'named', perSecond},
          sentAt,
        ),
      );
    });
  }

  private exchange({limits, control}: SimulatedEntry): void {
    const sentAt = performance.now();
    const request = {
      entry: `e${this.entries.findIndex(entry => entry.limits === limits)}`,
      load: {},
      evidence: [],
      ...limits.takeReport([this.server], () => 0),
    };
    if (this.isLost()) return;
    this.plan(ONE_WAY_MS, () => {
      const reply = this.controls[control]?.exchange(request);
      if (!reply || this.isLost()) return;
      const received = JSON.parse(JSON.stringify(reply)) as ExchangeReply;
      this.plan(ONE_WAY_MS, () => limits.applyReply(received, sentAt));
    });
  }

  private exchangeDigests(): void {
    for (const sender of this.controls) {
      const digest = sender.describeDigest();
      for (const receiver of this.controls) {
        if (receiver === sender || this.isLost()) continue;
        this.plan(ONE_WAY_MS, () => receiver.acceptDigest(digest));
      }
    }
  }

  private isLost(): boolean {
    const {lossRate = 0, random} = this.options;
    return !this.isControlReachable || random() < lossRate;
  }

  private plan(delayMs: number, run: () => void): void {
    this.events.push({at: performance.now() + delayMs, run});
  }
}
