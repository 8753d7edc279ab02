import type {ServerListing} from '@sycamorehead/fleet';
import type {LoadReporter} from '../lib/LoadReporter.js';
import {FakeControls} from './FakeControls.js';
import {CrashingServer} from './CrashingServer.js';
import {exchangeAllReports} from './exchangeAllReports.js';
import {sendAtIntervals} from './sendAtIntervals.js';
import {createRandom} from './createRandom.js';
import type {ReceivedRequest} from './FakeServer.js';
import {
  GatewayHarness,
  buildEngineConfiguration,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';

/** A segment that is in every prompt. */
export const COMMON_SEGMENT = 'c0';
/** The segment under which servers crash. */
export const CRASHING_SEGMENT = 'bad1';

/** The prompts of the sound requests have one of so many segments each, in turn. */
const DOCUMENTS = 7;
/** The document of all requests with the crashing segment while it has a companion. */
const COMPANION = 2;

/** Time between two exchanges of an entry, in milliseconds. */
const EXCHANGE_MS = 100;

/** One request of a caller, and what became of it. */
export interface CallerResult {
  readonly hasCrashingSegment: boolean;
  readonly sentAt: number;
  readonly status: number;
  readonly text: string;
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
  /**
   * Time after the start for which all requests with the crashing segment, and no others, have one
   * further segment, in milliseconds.
   */
  readonly companionMs?: number;
}

const CONFIGURATION = buildEngineConfiguration({
  kind: 'streaming',
  isResumable: true,
  targetLatencyMs: 1_500,
});

/** Several entries in front of engines that crash under one prompt segment. */
export class CrashFleet {
  readonly results: CallerResult[] = [];
  /** When servers have crashed, on the monotonic clock. */
  readonly crashTimes: number[] = [];
  /** When a request with the crashing segment has reached a server, on the monotonic clock. */
  readonly crashingArrivals: number[] = [];
  readonly entries: GatewayHarness[] = [];
  readonly controls: FakeControls;
  private readonly reporters: LoadReporter[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly replaced: GatewayHarness[] = [];
  private readonly servers: CrashingServer[];
  private readonly listings = new Map<string, ServerListing>();
  private requestCount = 0;
  private readonly startedAt = performance.now();

  constructor(private readonly options: CrashFleetOptions) {
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
        new CrashingServer(`s${index}`, CRASHING_SEGMENT, {
          onStart: listing => this.list(listing),
          onReceived: (server, request) => this.recordArrival(request),
          onCrash: () => this.crashTimes.push(performance.now()),
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
    await entry.start(CONFIGURATION, [...this.listings.values()]);
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

  /** Sends requests to the entries in turn, each `intervalMs`, until `durationMs` have passed. */
  async sendRequests(
    hasCrashingSegment: boolean,
    intervalMs: number,
    durationMs: number,
  ): Promise<void> {
    await sendAtIntervals(intervalMs, durationMs, () =>
      this.sendRequest(hasCrashingSegment),
    );
  }

  /** Sends one request; its segments but for the common and the crashing one are its own. */
  async sendRequest(
    hasCrashingSegment: boolean,
    entry?: GatewayHarness,
  ): Promise<void> {
    this.requestCount += 1;
    const count = this.requestCount;
    const receiver = entry ?? this.entries[count % this.entries.length];
    if (!receiver) return;
    const crashing = hasCrashingSegment ? [`${CRASHING_SEGMENT}:400`] : [];
    const segments = [
      `${COMMON_SEGMENT}:800`,
      ...crashing,
      `d${this.chooseDocument(count, hasCrashingSegment)}:100`,
      `own${count}:50`,
    ];
    const sentAt = performance.now();
    const text = await receiver.exchange(
      formatRequest({
        id: `r${count}`,
        headers: [`X-Prefix: ${segments.join(',')}`, 'X-Tokens: 1350,20'],
      }),
      5_000,
    );
    const status = readStatus(text);
    this.results.push({hasCrashingSegment, sentAt, status, text});
  }

  /** Counts the requests with the crashing segment that reached a server after a moment. */
  countCrashingArrivals(after: number): number {
    return this.crashingArrivals.filter(at => at > after).length;
  }

  /** Returns the fraction of the sound requests sent since a moment that were answered whole. */
  measureSoundShare(since: number): number {
    const sound = this.results.filter(
      ({hasCrashingSegment, sentAt}) => !hasCrashingSegment && sentAt >= since,
    );
    const whole = sound.filter(({text}) => text.endsWith('0\r\n\r\n'));
    return whole.length / sound.length;
  }

  private chooseDocument(count: number, hasCrashingSegment: boolean): number {
    const document = count % DOCUMENTS;
    const {companionMs = 0} = this.options;
    if (performance.now() - this.startedAt >= companionMs) return document;
    if (hasCrashingSegment) return COMPANION;
    return document === COMPANION ? document + 1 : document;
  }

  private startTimer(intervalMs: number, run: () => void): void {
    this.timers.push(setInterval(run, intervalMs));
  }

  private recordArrival({headers}: ReceivedRequest): void {
    if (!headers.get('x-prefix')?.includes(`${CRASHING_SEGMENT}:`)) return;
    this.crashingArrivals.push(performance.now());
  }

  private list(listing: ServerListing): void {
    this.listings.set(listing.registration.id, listing);
    for (const entry of this.entries) entry.list([listing]);
  }
}
