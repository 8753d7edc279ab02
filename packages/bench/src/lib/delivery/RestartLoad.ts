import {Agent, request} from 'undici';
import {SeededRandom} from '../load/arrivals.js';
import {OVERHEAD_CUSTOMER_KEY} from './OverheadFleet.js';
import type {RestartFleet} from './RestartFleet.js';

const CONNECTIONS = 64;
const GIVE_UP_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** A kind of request with its share. */
const KINDS = [
  {name: 'short', weight: 6, tokens: 8},
  {name: 'long', weight: 1, tokens: 400},
  {name: 'deposit', weight: 2, tokens: 0},
  {name: 'read', weight: 1, tokens: 0},
] as const;

/** What the caller of one request saw. @internal */
export interface RestartCall {
  readonly kind: (typeof KINDS)[number]['name'];
  readonly key: string;
  readonly requestId: string;
  /** `cut`: neither a whole answer nor a true refusal. */
  readonly outcome: 'whole' | 'refused' | 'cut';
  readonly reason: string;
}

/** Calls at a steady rate until told to end, each of a kind drawn from a seed. @internal */
export class RestartLoad {
  readonly calls: RestartCall[] = [];
  private readonly agent = new Agent({
    connections: CONNECTIONS,
    headersTimeout: GIVE_UP_MS,
    bodyTimeout: GIVE_UP_MS,
  });
  private readonly random: SeededRandom;
  private readonly open = new Set<Promise<void>>();
  private running: Promise<void> = Promise.resolve();
  private isEnding = false;
  private count = 0;

  constructor(
    private readonly fleet: RestartFleet,
    seed: number,
    private readonly perSecond: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Begins to make calls. */
  start(): void {
    this.running = this.makeCalls();
  }

  private async makeCalls(): Promise<void> {
    while (!this.isEnding) {
      const waitMs = this.random.sampleExponential(
        MS_PER_SECOND / this.perSecond,
      );
      await new Promise(resolve => setTimeout(resolve, waitMs));
      const call = this.makeCall();
      this.open.add(call);
      void call.finally(() => this.open.delete(call));
    }
  }

  /** Stops calling and waits for the calls that are open. */
  async end(): Promise<void> {
    this.isEnding = true;
    await this.running;
    await Promise.all(this.open);
    await this.agent.destroy();
  }

  private async makeCall(): Promise<void> {
    this.count += 1;
    const key = `call-${this.count}`;
    const kind = this.random.pickWeighted(KINDS);
    try {
      this.calls.push(await this.send(kind, key));
    } catch (error) {
      const reason = String((error as {code?: string}).code ?? error);
      const outcome = reason === 'ECONNREFUSED' ? 'refused' : 'cut';
      this.calls.push({kind: kind.name, key, requestId: '', outcome, reason});
    }
  }

  private async send(
    {name, tokens}: (typeof KINDS)[number],
    key: string,
  ): Promise<RestartCall> {
    const base = this.fleet.chooseEntry();
    const isChat = tokens > 0;
    const path = SERVICE_PATHS[name] ?? '/v1/chat/completions';
    const answer = await request(`${base}${path}`, {
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
    const isEnded = !isChat || text.includes('data: [DONE]');
    if (answer.statusCode === 200 && isEnded) {
      return {...common, outcome: 'whole', reason: ''};
    }
    const isTrueRefusal = text.includes('"ran":"no"');
    const reason = text.slice(-300);
    return {...common, outcome: isTrueRefusal ? 'refused' : 'cut', reason};
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
