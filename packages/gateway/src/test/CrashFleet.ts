import type {ServerListing} from '@sycamorehead/fleet';
import type {RouteConfiguration} from '@sycamorehead/schema';
import type {LoadReporter} from '../lib/LoadReporter.js';
import {CrashBehaviour, CrashingServer} from './CrashingServer.js';
import {FakeControls} from './FakeControls.js';
import {GatewayHarness, readStatus} from './GatewayHarness.js';
import {createRandom} from './createRandom.js';
import {exchangeAllReports} from './exchangeAllReports.js';

/** Time between two exchanges of an entry, in milliseconds. */
const EXCHANGE_MS = 100;

/** One request of a caller, and what became of it. */
export interface CallerResult {
  /** What in it crashes servers; undefined for a sound request. */
  readonly cause: string | undefined;
  readonly sentAt: number;
  readonly status: number;
  readonly text: string;
}

/** Something that happened because of one cause. */
export interface CauseEvent {
  readonly cause: string | undefined;
  /** On the monotonic clock. */
  readonly at: number;
}

/** Settings of a CrashFleet. */
export interface CrashFleetOptions {
  readonly entries: number;
  readonly servers: number;
  readonly controls?: number;
  /** Probability with which a message between our own processes is lost. */
  readonly lossRate?: number;
  /** Time after which one of the entries is replaced by one without memory, in milliseconds. */
  readonly restartMs?: number;
}

/** Several entries in front of servers that crash when they run certain requests. */
export class CrashFleet {
  readonly results: CallerResult[] = [];
  readonly crashes: CauseEvent[] = [];
  /** Requests that crash servers and have reached one. */
  readonly crashingArrivals: CauseEvent[] = [];
  readonly entries: GatewayHarness[] = [];
  readonly controls: FakeControls;
  private readonly reporters: LoadReporter[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly replaced: GatewayHarness[] = [];
  private readonly servers: CrashingServer[];
  private readonly listings = new Map<string, ServerListing>();
  private requestCount = 0;

  constructor(
    private readonly options: CrashFleetOptions,
    private readonly configuration: RouteConfiguration,
    behaviour: CrashBehaviour,
  ) {
    const {servers, controls = 3, lossRate = 0} = options;
    const random = createRandom();
    this.controls = new FakeControls(
      controls,
      () => random() < lossRate,
      state => {
        for (const entry of this.entries) entry.quarantine.update(state);
      },
    );
    this.servers = Array.from(
      {length: servers},
      (_, index) =>
        new CrashingServer(`s${index}`, behaviour, {
          onStart: listing => this.list(listing),
          onReceived: request => {
            const cause = behaviour.findCause(request);
            if (cause === undefined) return;
            this.crashingArrivals.push({cause, at: performance.now()});
          },
          onCrash: cause => this.crashes.push({cause, at: performance.now()}),
        }),
    );
  }

  async start(): Promise<void> {
    await Promise.all(this.servers.map(server => server.start()));
    for (let index = 0; index < this.options.entries; index += 1) {
      await this.addEntry();
    }
    this.controls.start();
    this.startTimer(EXCHANGE_MS, () => exchangeAllReports(this.reporters));
    const {restartMs} = this.options;
    if (restartMs) this.startTimer(restartMs, () => void this.addEntry(0));
  }

  /** Starts an entry, in place of another one if an index is given, and returns it. */
  async addEntry(index = this.entries.length): Promise<GatewayHarness> {
    const entry = new GatewayHarness();
    await entry.start(this.configuration, [...this.listings.values()]);
    entry.quarantine.update(this.controls.state);
    const known = this.entries[index];
    if (known) this.replaced.push(known);
    this.entries[index] = entry;
    this.reporters[index] = entry.buildReporter(`e${index}`, request =>
      this.controls.exchange(index, request),
    );
    return entry;
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.controls.stop();
    const entries = [...this.entries, ...this.replaced];
    await Promise.all(entries.map(entry => entry.stop()));
    await Promise.all(this.servers.map(server => server.stop()));
  }

  /** Crashes a server, whatever it works on. */
  restartServer(index: number): void {
    void this.servers[index % this.servers.length]?.restart();
  }

  /** Sends a request, which is built from its number, to an entry, or to all of them in turn. */
  async exchange(
    cause: string | undefined,
    build: (count: number) => string,
    entry?: GatewayHarness,
  ): Promise<void> {
    this.requestCount += 1;
    const count = this.requestCount;
    const receiver = entry ?? this.entries[count % this.entries.length];
    if (!receiver) return;
    const sentAt = performance.now();
    const text = await receiver.exchange(build(count), 5_000);
    this.results.push({cause, sentAt, status: readStatus(text), text});
  }

  /** Counts the requests with a cause that reached a server after a moment. */
  countArrivals(cause: string, after: number): number {
    return this.crashingArrivals.filter(
      arrival => arrival.cause === cause && arrival.at > after,
    ).length;
  }

  /** Lists when servers crashed because of a cause, on the monotonic clock. */
  listCrashTimes(cause: string): number[] {
    return this.crashes
      .filter(crash => crash.cause === cause)
      .map(({at}) => at);
  }

  /** Returns the fraction of the sound requests sent since a moment that were answered whole. */
  measureSoundShare(since: number): number {
    const sound = this.results.filter(
      ({cause, sentAt}) => cause === undefined && sentAt >= since,
    );
    const whole = sound.filter(({text}) => /(0\r\n\r\n|whole)$/.test(text));
    return whole.length / sound.length;
  }

  private startTimer(intervalMs: number, run: () => void): void {
    this.timers.push(setInterval(run, intervalMs));
  }

  private list(listing: ServerListing): void {
    this.listings.set(listing.registration.id, listing);
    for (const entry of this.entries) entry.list([listing]);
  }
}
