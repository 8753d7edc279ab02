import {Agent, request} from 'undici';
import {SeededRandom} from '../load/arrivals.js';
import {OVERHEAD_CUSTOMER_KEY} from './OverheadFleet.js';
import type {RestartFleet} from './RestartFleet.js';

const CONNECTIONS = 64;
const RESPONSE_TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** Kinds of requests with their relative frequencies. */
const REQUEST_KINDS = [
  {name: 'short', weight: 6, tokens: 8},
  {name: 'long', weight: 1, tokens: 400},
  {name: 'deposit', weight: 2, tokens: 0},
  {name: 'read', weight: 1, tokens: 0},
] as const;

/** Result of one request as its caller observed it. @internal */
export interface RestartCall {
  readonly kind: (typeof REQUEST_KINDS)[number]['name'];
  readonly key: string;
  readonly requestId: string;
  /** `cut`: neither a complete response nor a refusal that guarantees that nothing was executed. */
  readonly outcome: 'whole' | 'refused' | 'cut';
  readonly reason: string;
}

/** Makes calls at a constant mean rate; their times and kinds are drawn from a seed. @internal */
export class RestartLoad {
  readonly calls: RestartCall[] = [];
  private readonly agent = new Agent({
    connections: CONNECTIONS,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });
  private readonly random: SeededRandom;
  private readonly openCalls = new Set<Promise<void>>();
  private callLoop: Promise<void> = Promise.resolve();
  private isStopping = false;
  private callCount = 0;

  constructor(
    private readonly fleet: RestartFleet,
    seed: number,
    private readonly callsPerSecond: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Starts to make calls. */
  start(): void {
    this.callLoop = this.makeCalls();
  }

  private async makeCalls(): Promise<void> {
    while (!this.isStopping) {
      const waitMs = this.random.sampleExponential(
        MS_PER_SECOND / this.callsPerSecond,
      );
      await new Promise(resolve => setTimeout(resolve, waitMs));
      const call = this.makeCall();
      this.openCalls.add(call);
      void call.finally(() => this.openCalls.delete(call));
    }
  }

  /** Stops making calls and waits for the calls in progress. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await this.callLoop;
    await Promise.all(this.openCalls);
    await this.agent.destroy();
  }

  private async makeCall(): Promise<void> {
    this.callCount += 1;
    const key = `call-${this.callCount}`;
    const kind = this.random.pickWeighted(REQUEST_KINDS);
    try {
      this.calls.push(await this.send(kind, key));
    } catch (error) {
      const reason = String((error as {code?: string}).code ?? error);
      const outcome = reason === 'ECONNREFUSED' ? 'refused' : 'cut';
      this.calls.push({kind: kind.name, key, requestId: '', outcome, reason});
    }
  }

  private async send(
    {name, tokens}: (typeof REQUEST_KINDS)[number],
    key: string,
  ): Promise<RestartCall> {
    const entryUrl = this.fleet.chooseEntry();
    const isChat = tokens > 0;
    const path = SERVICE_PATHS[name] ?? '/v1/chat/completions';
    const answer = await request(`${entryUrl}${path}`, {
      method: name === 'read' ? 'GET' : 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${OVERHEAD_CUSTOMER_KEY}`,
        ...(name === 'deposit' && {'idempotency-key': key}),
      },
      body: isChat ? buildChat(tokens) : buildPlainBody(name),
    });
    const text = await answer.body.text();
    const requestId = String(answer.headers['sycamorehead-request-id']);
    const common = {kind: name, key, requestId};
    const isStreamComplete = !isChat || text.includes('data: [DONE]');
    if (answer.statusCode === 200 && isStreamComplete) {
      return {...common, outcome: 'whole', reason: ''};
    }
    const isNotExecuted = text.includes('"ran":"no"');
    const reason = text.slice(-300);
    return {...common, outcome: isNotExecuted ? 'refused' : 'cut', reason};
  }
}

const SERVICE_PATHS: Readonly<Record<string, string>> = {
  deposit: '/services/orders/deposits',
  read: '/services/orders/orders/7',
};

function buildPlainBody(name: string): string | undefined {
  return name === 'deposit' ? '{"amount":1}' : undefined;
}

function buildChat(tokens: number): string {
  return JSON.stringify({
    model: 'm',
    stream: true,
    messages: [{role: 'user', content: 'A short proof'}],
    metadata: {stand_in_tokens: String(tokens)},
  });
}
