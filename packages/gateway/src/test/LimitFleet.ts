import type {LoadReporter} from '../lib/LoadReporter.js';
import {exchangeAllReports} from './exchangeAllReports.js';
import {FakeControls} from './FakeControls.js';
import {
  FakeServer,
  LAST_CHUNK,
  ServerScript,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildRoute,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {sendAtIntervals} from './sendAtIntervals.js';

/** Time between two exchanges of an entry, in milliseconds. */
const EXCHANGE_MS = 100;
/** Time that a server works on a request, in milliseconds. */
const WORK_MS = 20;

/** One request of a caller, and what became of it. */
export interface LimitResult {
  readonly status: number;
  readonly text: string;
  /** Time until the answer, in milliseconds. */
  readonly ms: number;
}

/** Settings of a LimitFleet. */
export interface LimitFleetOptions {
  readonly entries: number;
  /** What each server names in its answers; undefined for those without a limit. */
  readonly limits: ReadonlyArray<string | undefined>;
  /** Models of the route; the servers have little confidence in what they answer. */
  readonly models?: readonly string[];
  /** Indexes of the servers that answer with an error of their own. */
  readonly failing?: readonly number[];
}

/** Several entries in front of servers, some of which name a limit. */
export class LimitFleet {
  readonly results: LimitResult[] = [];
  readonly entries: GatewayHarness[] = [];
  readonly limits: Array<string | undefined>;
  /** When requests have arrived at each server, on the monotonic clock. */
  readonly arrivals: number[][] = [];
  private readonly servers: FakeServer[];
  private readonly controls: FakeControls;
  private readonly reporters: LoadReporter[] = [];
  private timer: NodeJS.Timeout | undefined;
  private requestCount = 0;

  constructor(private readonly options: LimitFleetOptions) {
    const {limits} = options;
    this.limits = [...limits];
    this.servers = limits.map(
      (_, index) => new FakeServer(`s${index}`, this.buildScript(index)),
    );
    this.controls = new FakeControls(
      3,
      () => false,
      () => {
        // Nothing crashes here.
      },
    );
  }

  async start(): Promise<void> {
    await Promise.all(this.servers.map(server => server.start()));
    for (let index = 0; index < this.options.entries; index += 1) {
      await this.addEntry();
    }
    this.controls.start();
    this.timer = setInterval(
      () => exchangeAllReports(this.reporters),
      EXCHANGE_MS,
    );
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.controls.stop();
    await Promise.all(this.entries.map(entry => entry.stop()));
    await Promise.all(this.servers.map(server => server.stop()));
  }

  /** Sends requests to the entries in turn, each `intervalMs`, until `durationMs` have passed. */
  async sendRequests(intervalMs: number, durationMs: number): Promise<void> {
    await sendAtIntervals(intervalMs, durationMs, () => this.sendRequest());
  }

  /** Returns the most requests that a server got in some time after a moment. */
  countMost(index: number, windowMs: number, after: number): number {
    const times = (this.arrivals[index] ?? []).filter(at => at >= after);
    const counts = times.map(
      start => times.filter(at => at >= start && at < start + windowMs).length,
    );
    return Math.max(0, ...counts);
  }

  private async addEntry(): Promise<void> {
    const entry = new GatewayHarness();
    const {models = []} = this.options;
    await entry.start(
      buildConfiguration([
        buildRoute({
          kind: models.length > 0 ? 'streaming' : 'safe',
          isResumable: models.length > 0,
          targetLatencyMs: 1_000,
          models: [...models],
        }),
      ]),
      this.servers.map(server => server.describe()),
    );
    const index = this.entries.push(entry) - 1;
    this.reporters.push(
      entry.buildReporter(`e${index}`, request =>
        this.controls.exchange(index, request),
      ),
    );
  }

  private async sendRequest(): Promise<void> {
    this.requestCount += 1;
    const entry = this.entries[this.requestCount % this.entries.length];
    if (!entry) return;
    const startedAt = performance.now();
    const text = await entry.exchange(
      formatRequest({
        id: `r${this.requestCount}`,
        headers: this.options.models ? ['X-Model: *', 'X-Tokens: 100,20'] : [],
      }),
    );
    const ms = performance.now() - startedAt;
    this.results.push({status: readStatus(text), text, ms});
  }

  private buildScript(index: number): ServerScript {
    const times: number[] = [];
    this.arrivals[index] = times;
    return (request, socket) => {
      times.push(performance.now());
      const limit = this.limits[index];
      const fields = ['X-Confidence: 5'];
      if (limit !== undefined) fields.push(`X-Limit: ${limit}`);
      // A route with models is one of streams.
      const answer = this.options.models
        ? formatStreamHead(request, fields) +
          formatChunk(formatEvent(1)) +
          LAST_CHUNK
        : formatAnswer(request, 'whole', fields);
      const isFailing = this.options.failing?.includes(index);
      const text = isFailing ? answer.replace('200 OK', '500 Error') : answer;
      setTimeout(() => socket.write(text), WORK_MS);
    };
  }
}
