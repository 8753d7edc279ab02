import type {Clock} from '@sinonjs/fake-timers';
import {EntryReports, ExchangeReply} from '@sycamorehead/fleet';
import {PrefillRates} from '@sycamorehead/routing';
import type {RoutedService} from '@sycamorehead/schema';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {Placement} from '../lib/Placement.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {describeServer} from './FakeServer.js';

const STEP_MS = 10;
const EXCHANGE_MS = 100;
const HEARTBEAT_MS = 1_200;
const ONE_WAY_MS = 10;
/** Time for which a server works on a request, in milliseconds. */
const WORK_MS = 400;
/** Time for which a request waits at most, in milliseconds. */
const MAX_WAIT_MS = 600;
const SLOTS = 64;
const MS_PER_SECOND = 1_000;
const SERVICE: RoutedService = {
  name: 'drafts',
  healthPath: '/',
  maxConnections: 400,
  engine: {slots: SLOTS, tokenCapacity: 500_000, models: []},
  warmup: {durationMs: 3_000, perSecond: 10},
};

/** Settings of a SimulatedColdFleet. */
export interface SimulatedColdFleetOptions {
  readonly clock: Clock;
  readonly entries: number;
  readonly controls: number;
  readonly servers: number;
  readonly random: () => number;
}

interface SimulatedServer {
  readonly id: string;
  sequence: number;
  coldUntil: number;
  readonly arrivals: number[];
}

interface SimulatedEntry {
  table: ServerTable;
  placement: Placement;
  /** When each waiting request arrived. */
  waiting: number[];
  /** Whether it runs; a frozen entry neither sends nor exchanges. */
  isRunning: boolean;
  /** Whether it reaches the control instances. */
  isLinked: boolean;
  readonly control: number;
  readonly exchangeOffsetMs: number;
}

/**
 * The entries of a fleet in front of servers that become cold. Placement, permits and their grants are
 * real; messages and servers are simulated.
 */
export class SimulatedColdFleet {
  readonly servers: SimulatedServer[];
  readonly entries: SimulatedEntry[] = [];
  /** Requests of callers a second, at all entries together. */
  requestsPerSecond = 0;
  /** Time between two digests of a control instance, in milliseconds. */
  digestMs = 100;
  /** Probability with which a message between our own processes is lost. */
  lossRate = 0;
  private readonly controls: EntryReports[] = [];
  private events: Array<{at: number; run(): void}> = [];
  private requests = 0;

  constructor(private readonly options: SimulatedColdFleetOptions) {
    const {controls, entries, random} = options;
    this.servers = Array.from({length: options.servers}, (_, index) => ({
      id: `s${index}`,
      sequence: 1,
      coldUntil: -Infinity,
      arrivals: [],
    }));
    for (let index = 0; index < controls; index += 1) {
      this.restartControl(index);
    }
    for (let index = 0; index < entries; index += 1) {
      this.entries.push({
        ...this.buildEntry(),
        waiting: [],
        isRunning: true,
        isLinked: true,
        control: index % controls,
        exchangeOffsetMs: Math.floor(random() * 10) * STEP_MS,
      });
    }
  }

  /** Replaces an entry by one that knows the listing only. */
  restartEntry(index: number): void {
    const entry = this.entries[index];
    if (entry) Object.assign(entry, this.buildEntry(), {waiting: []});
  }

  /** Replaces a control instance by one that knows nothing. */
  restartControl(index: number): void {
    const {controls} = this.options;
    this.controls[index] = new EntryReports({
      instance: `c${index}`,
      incarnation: `c${index} ${performance.now()}`,
      countControls: () => controls,
      listQuarantined: () => [],
      findWarmup: () => SERVICE.warmup,
    });
  }

  /** Makes servers cold and lets them say so. */
  startColdness(count: number, durationMs: number): void {
    for (const server of this.servers.slice(0, count)) {
      server.coldUntil = performance.now() + durationMs;
      this.sendHeartbeat(server);
    }
  }

  /** Lets time pass. */
  run(durationMs: number): void {
    const end = performance.now() + durationMs;
    while (performance.now() < end) this.runStep();
  }

  /** Returns the most requests that any of the first servers got in a second after a moment. */
  countMost(count: number, after: number): number {
    return Math.max(
      ...this.servers.slice(0, count).map(({arrivals}) => {
        const times = arrivals.filter(at => at >= after);
        let first = 0;
        return times.reduce((most, at, index) => {
          while ((times[first] ?? at) <= at - MS_PER_SECOND) first += 1;
          return Math.max(most, index - first + 1);
        }, 0);
      }),
    );
  }

  /** Returns the requests a second that each of the first servers got since a moment. */
  measureRate(count: number, since: number): number {
    const total = this.servers
      .slice(0, count)
      .reduce(
        (sum, {arrivals}) => sum + arrivals.filter(at => at >= since).length,
        0,
      );
    const seconds = (performance.now() - since) / MS_PER_SECOND;
    return total / count / seconds;
  }

  private buildEntry(): Pick<SimulatedEntry, 'table' | 'placement'> {
    const table = new ServerTable();
    table.cold.setServices([SERVICE]);
    table.update({servers: this.servers.map(server => describe(server))});
    const placement = new Placement({
      servers: table,
      versions: new VersionSplit(5_000),
      rates: new PrefillRates(),
      times: new AnswerTimes(),
      policy: 'sampled',
      dataCentre: 'a',
      countEntries: () => this.options.entries,
    });
    return {table, placement};
  }

  private sendHeartbeat(server: SimulatedServer): void {
    server.sequence += 1;
    const listing = describe(server);
    for (const entry of this.entries) {
      if (!entry.isLinked) continue;
      this.plan(ONE_WAY_MS, () => entry.table.update({servers: [listing]}));
    }
  }

  private runStep(): void {
    this.options.clock.tick(STEP_MS);
    const now = performance.now();
    const due = this.events.filter(({at}) => at <= now);
    this.events = this.events.filter(({at}) => at > now);
    for (const event of due) event.run();
    if (now % HEARTBEAT_MS < STEP_MS) {
      for (const server of this.servers) this.sendHeartbeat(server);
    }
    if (now % this.digestMs < STEP_MS) this.exchangeDigests();
    const expected = (this.requestsPerSecond * STEP_MS) / MS_PER_SECOND;
    let count = Math.floor(expected + this.options.random());
    for (; count > 0; count -= 1) this.receiveRequest();
    for (const entry of this.entries) {
      if (!entry.isRunning) continue;
      this.sendWaiting(entry);
      const phase = (now - entry.exchangeOffsetMs) % EXCHANGE_MS;
      if (phase < STEP_MS) this.exchange(entry);
    }
  }

  private receiveRequest(): void {
    const {random} = this.options;
    const entry = this.entries[Math.floor(random() * this.entries.length)];
    if (!entry?.isRunning) return;
    entry.table.cold.recordDemand(SERVICE.name);
    entry.waiting.push(performance.now());
  }

  private sendWaiting(entry: SimulatedEntry): void {
    const oldest = performance.now() - MAX_WAIT_MS;
    entry.waiting = entry.waiting.filter(at => at >= oldest);
    while (entry.waiting.length > 0) {
      this.requests += 1;
      const reservation = entry.placement.tryAcquire({
        ...buildPlacementRequest(`own${this.requests}`),
        service: SERVICE,
      });
      if (!reservation) return;
      if (!reservation.confirmSend()) {
        reservation.release();
        return;
      }
      entry.waiting.shift();
      const {id} = reservation.server.listing.registration;
      const server = this.servers.find(known => known.id === id);
      this.plan(ONE_WAY_MS, () => server?.arrivals.push(performance.now()));
      this.plan(WORK_MS, () => reservation.release());
    }
  }

  private exchange(entry: SimulatedEntry): void {
    const {table, control, waiting} = entry;
    const sentAt = performance.now();
    const request = {
      entry: `e${this.entries.indexOf(entry)}`,
      load: table.listLoad(),
      evidence: [],
      ...table.cold.takeReport(table.listCold(), () => waiting.length),
    };
    if (!entry.isLinked || this.isLost()) return;
    this.plan(ONE_WAY_MS, () => {
      const reply = this.controls[control]?.exchange(request);
      if (!reply || this.isLost()) return;
      const received = JSON.parse(JSON.stringify(reply)) as ExchangeReply;
      this.plan(ONE_WAY_MS, () => {
        // A frozen process finds the reply when it wakes.
        table.cold.applyReply(received, sentAt);
        table.setOthersLoad(received.load);
        if (entry.isRunning && entry.table === table) this.sendWaiting(entry);
      });
    });
  }

  private exchangeDigests(): void {
    for (const sender of this.controls) {
      // The number of entries sets the time of the next digest.
      sender.load.countEntries();
      const digest = sender.describeDigest();
      for (const receiver of this.controls) {
        if (receiver === sender || this.isLost()) continue;
        this.plan(ONE_WAY_MS, () => receiver.acceptDigest(digest));
      }
    }
  }

  private isLost(): boolean {
    return this.options.random() < this.lossRate;
  }

  private plan(delayMs: number, run: () => void): void {
    this.events.push({at: performance.now() + delayMs, run});
  }
}

function describe({id, sequence, coldUntil}: SimulatedServer) {
  return describeServer(id, `10.0.0.${id.slice(1)}:80`, {
    slots: SLOTS,
    sequence,
    slowStartMs: Math.max(0, coldUntil - performance.now()),
  });
}
