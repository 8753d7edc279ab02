import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  Announcement,
  ChatRequest,
  VersionRef,
  estimatePromptTokens,
  parseChatRequest,
} from '@sycamorehead/schema';
import {AnnouncementSource, Announcer} from './Announcer.js';
import {EngineBatch, EngineJob, EngineSpeed} from './EngineBatch.js';
import {EngineFaults, NO_FAULTS} from './engineFaults.js';
import {EngineOrder, EngineVersions} from './EngineVersions.js';
import {PrefixCache} from './PrefixCache.js';
import {StandInServer, sendJson} from './StandInServer.js';

const DEFAULT_TOKENS = 24;
const MAX_PREFIXES = 512;
const WORDS =
  'silver spoon rota bucket dawn clinic label note engrave initials script border oak leaf well turn'.split(
    ' ',
  );

/** Settings of a stand-in engine. @public */
export interface StandInEngineOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly versions: readonly VersionRef[];
  readonly speed: EngineSpeed;
  readonly fencing: Announcement['fencing'];
  /** Base URLs of the entries to which the engine announces itself. */
  readonly entries: readonly string[];
  readonly serverKey: string;
  /** Base URL of the weight store; if absent, loads finish immediately. */
  readonly weightStore?: string;
  /** Maximum number of loaded versions; not announced if absent. */
  readonly versionSlots?: number;
  readonly generation?: number;
}

/** Record of a request that the engine executed, for assertions in tests. @public */
export interface EngineRun {
  readonly id: string;
  readonly version: string;
  readonly prompt: string;
  readonly resumedFrom: number;
  tokens: number;
  outcome: 'running' | 'finished' | 'cancelled' | 'faulted';
}

/**
 * A stand-in for a model engine with continuous batching, a prompt prefix cache, priorities,
 * resumed and cancelled requests, delayed load reports, and load and unload orders.
 *
 * @public
 */
export class StandInEngine {
  readonly faults: EngineFaults = {...NO_FAULTS};
  readonly runs: EngineRun[] = [];
  readonly announcer: Announcer;
  address = '';
  private readonly server: StandInServer;
  private readonly batch: EngineBatch;
  private readonly prefixes = new PrefixCache(MAX_PREFIXES);
  private readonly loadSamples: Array<{
    at: number;
    running: number;
    queued: number;
  }> = [];
  private readonly versions: EngineVersions;

  constructor(private readonly options: StandInEngineOptions) {
    this.versions = new EngineVersions({
      loaded: options.versions,
      checksFencing: options.fencing === 'checked',
      faults: this.faults,
      weightStore: options.weightStore,
    });
    this.batch = new EngineBatch(options.speed, this.faults);
    this.server = new StandInServer((incoming, response, body) =>
      this.answer(incoming, response, body),
    );
    this.announcer = new Announcer({
      entries: options.entries,
      serverKey: options.serverKey,
      generation: options.generation,
      source: () => this.buildAnnouncement(),
    });
  }

  /** The executed orders in order of execution. */
  get orders(): readonly EngineOrder[] {
    return this.versions.orders;
  }

  /** Lists the loaded versions. */
  listVersions(): VersionRef[] {
    return this.versions.list();
  }

  /** Starts to serve and to announce itself; returns the base URL. */
  async start(): Promise<string> {
    this.address = await this.server.start();
    if (this.options.entries.length > 0) await this.announcer.start();
    return this.address;
  }

  /** Stops abruptly, like a crash. */
  async stop(): Promise<void> {
    this.announcer.stop();
    await this.server.stop();
  }

  private buildAnnouncement(): ReturnType<AnnouncementSource> {
    const {id, dataCentre, speed, fencing} = this.options;
    return {
      id,
      address: this.address,
      dataCentre,
      kind: 'engine',
      versions: this.versions.list(),
      versionSlots: this.options.versionSlots,
      slots: speed.slots,
      fencing,
      load: this.readLaggedLoad(),
    };
  }

  private readLaggedLoad(): Announcement['load'] {
    const now = performance.now();
    const {runningCount, queuedCount} = this.batch;
    this.loadSamples.push({
      at: now,
      running: runningCount,
      queued: queuedCount,
    });
    const cutoff = now - this.faults.reportLagMs;
    while (this.loadSamples[1] && this.loadSamples[1].at <= cutoff)
      this.loadSamples.shift();
    const sample = this.loadSamples[0];
    return {
      running: sample?.running ?? 0,
      queued: sample?.queued ?? 0,
      tokensPerSecond: 0,
      ageMs: sample ? now - sample.at : 0,
    };
  }

  private async answer(
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const route = `${incoming.method} ${incoming.url}`;
    if (route === 'POST /v1/chat/completions') {
      this.answerChat(incoming, response, body);
      return;
    }
    if (route === 'POST /v1/orders') {
      const order = JSON.parse(body) as EngineOrder;
      const answer = await this.versions.execute(order);
      sendJson(response, answer.status, answer.body);
      return;
    }
    sendJson(response, 404, {error: {message: 'no such path', ran: 'no'}});
  }

  private answerChat(
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const chat = parseChatRequest(JSON.parse(body));
    const [model = '', version = ''] = chat.model.split('/');
    const isLoaded = this.versions.has({model, version});
    if (!isLoaded || this.faults.refuses) {
      const message = isLoaded ? 'engine is busy' : 'version is not loaded';
      sendJson(response, 503, {error: {message, ran: 'no'}});
      return;
    }
    const run: EngineRun = {
      id: String(incoming.headers['x-request-id'] ?? ''),
      version: chat.model,
      prompt: chat.messages.map(({content}) => content).join('\n'),
      resumedFrom: Number(incoming.headers['x-resume-offset'] ?? 0),
      tokens: 0,
      outcome: 'running',
    };
    this.runs.push(run);
    this.startJob(incoming, response, chat, run);
  }

  private startJob(
    incoming: IncomingMessage,
    response: ServerResponse,
    chat: ChatRequest,
    run: EngineRun,
  ): void {
    const promptTokens = estimatePromptTokens(chat.messages);
    const cachedTokens = this.prefixes.matchAndInsert(chat.messages);
    const requestedTokens = Number(
      chat.metadata?.stand_in_tokens ?? DEFAULT_TOKENS,
    );
    const totalTokens = Math.min(
      requestedTokens,
      chat.max_tokens ?? requestedTokens,
    );
    const finishReason = totalTokens < requestedTokens ? 'length' : 'stop';
    const stream = new EngineStream(response, run, chat, {
      prompt_tokens: promptTokens,
      completion_tokens: totalTokens,
      cached_tokens: cachedTokens,
    });
    const job: EngineJob = {
      id: `${run.id}#${this.runs.length}`,
      priority: Number(incoming.headers['x-priority'] ?? 0),
      prefillTokens: promptTokens - cachedTokens,
      totalTokens,
      generated: run.resumedFrom,
      onToken: ({generated}) => {
        run.tokens += 1;
        if (this.applyFault(response, run, job)) return;
        stream.sendToken(generated, generated === totalTokens, finishReason);
      },
    };
    response.on('close', () => {
      this.batch.cancel(job.id);
      if (run.outcome === 'running') run.outcome = 'cancelled';
    });
    if (!this.batch.add(job)) response.destroy();
  }

  /** Injects a fault if one is due; returns true if the token must not be sent. */
  private applyFault(
    response: ServerResponse,
    run: EngineRun,
    job: EngineJob,
  ): boolean {
    const {resetAfterTokens, truncateAfterTokens, silentAfterTokens} =
      this.faults;
    const isDue = (limit?: number) => limit !== undefined && run.tokens > limit;
    const isReset = isDue(resetAfterTokens);
    const isTruncated = isDue(truncateAfterTokens);
    if (!isReset && !isTruncated && !isDue(silentAfterTokens)) return false;
    run.outcome = 'faulted';
    // The next step may come before the connection's close event.
    this.batch.cancel(job.id);
    if (isReset) response.destroy();
    else if (isTruncated) response.end();
    return true;
  }
}

/** Writes one answer as a stream of server-sent events. */
class EngineStream {
  private readonly seed: string;

  constructor(
    private readonly response: ServerResponse,
    private readonly run: EngineRun,
    private readonly chat: ChatRequest,
    private readonly usage: object,
  ) {
    this.seed = `${chat.model}\n${run.prompt}`;
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
  }

  sendToken(offset: number, isLast: boolean, reason: string): void {
    const digest = createHash('sha256').update(`${this.seed}${offset}`);
    const word = WORDS[digest.digest()[0]! % WORDS.length] ?? '';
    const chunk = {
      id: this.run.id,
      object: 'chat.completion.chunk',
      model: this.chat.model,
      offset,
      choices: [
        {
          index: 0,
          delta: {content: offset === 1 ? word : ` ${word}`},
          finish_reason: isLast ? reason : null,
        },
      ],
      ...(isLast && {usage: this.usage}),
    };
    this.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    if (!isLast) return;
    this.run.outcome = 'finished';
    this.response.end('data: [DONE]\n\n');
  }
}
