import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';

const RESPONSE_TIMEOUT_MS = 10_000;

/** Result of one request as its caller saw it. */
export interface CallResult {
  /** HTTP status, or 0 if the connection broke before the response headers. */
  readonly status: number;
  /** Whether the answer is complete; a stream is complete only after `[DONE]`. */
  readonly isComplete: boolean;
  /** Text of a model's answer, or response body of a plain service. */
  readonly text: string;
  /** Error kind, if the answer is an error. */
  readonly kind?: string;
  /** Whether the request was run (`yes`, `no` or `unknown`), if the answer is an error. */
  readonly ran?: string;
  readonly headers: Readonly<Record<string, unknown>>;
}

/** A model request. */
export interface ChatCall {
  readonly prompt?: string;
  readonly tokens?: number;
  readonly stream?: boolean;
  readonly session?: string;
  readonly key?: string;
  readonly model?: string;
  /** API key to use instead of the caller's own. */
  readonly customerKey?: string;
  /** Disconnects after this number of frames. */
  readonly disconnectAfterFrames?: number;
  /** Awaited before the caller disconnects. */
  readonly beforeDisconnect?: () => Promise<void>;
}

interface ErrorBody {
  readonly kind: string;
  readonly ran: string;
}

const BROKEN_CONNECTION: CallResult = {
  status: 0,
  isComplete: false,
  text: '',
  headers: {},
};

/** HTTP client of one entry. */
export class TestCaller {
  private readonly agent = new Agent({
    connections: 256,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });

  constructor(
    readonly url: string,
    private readonly customerKey: string,
  ) {}

  /** Sends a chat completion request. */
  async sendChat(call: ChatCall = {}): Promise<CallResult> {
    const {prompt, tokens, stream, session, key, model} = call;
    const aborter = new AbortController();
    try {
      const answer = await request(`${this.url}/v1/chat/completions`, {
        method: 'POST',
        dispatcher: this.agent,
        signal: aborter.signal,
        headers: {
          authorization: `Bearer ${call.customerKey ?? this.customerKey}`,
          ...(session && {'sycamorehead-session': session}),
          ...(key && {'idempotency-key': key}),
        },
        body: JSON.stringify({
          model: model ?? 'auto',
          stream: stream ?? true,
          messages: [{role: 'user', content: prompt ?? 'hello'}],
          metadata: {stand_in_tokens: String(tokens ?? 8)},
        }),
      });
      const head = {status: answer.statusCode, headers: answer.headers};
      const type = String(answer.headers['content-type']);
      if (!type.startsWith('text/event-stream')) {
        return {...head, ...readJsonAnswer(await answer.body.text())};
      }
      const stopReading = () =>
        void Promise.resolve(call.beforeDisconnect?.()).then(() =>
          aborter.abort(),
        );
      const frameLimit = call.disconnectAfterFrames ?? Infinity;
      return {
        ...head,
        ...(await readStream(answer.body, frameLimit, stopReading)),
      };
    } catch {
      return BROKEN_CONNECTION;
    }
  }

  /** Calls a plain service. */
  async callService(
    method: 'GET' | 'POST',
    path: string,
    key?: string,
    body = method === 'POST' ? '{"amount":1}' : undefined,
    customerKey = this.customerKey,
  ): Promise<CallResult> {
    try {
      const answer = await request(`${this.url}/services/${path}`, {
        method,
        dispatcher: this.agent,
        headers: {
          authorization: `Bearer ${customerKey}`,
          ...(key && {'idempotency-key': key}),
        },
        body,
      });
      const text = await answer.body.text();
      const {kind, ran} = readError(text);
      const isComplete = answer.statusCode < 400;
      const {statusCode: status, headers} = answer;
      return {status, headers, isComplete, text, kind, ran};
    } catch {
      return BROKEN_CONNECTION;
    }
  }

  /** Requests a page of the entry itself, such as `/healthz`. */
  async getPage(path: string): Promise<CallResult> {
    try {
      const answer = await request(`${this.url}${path}`, {
        dispatcher: this.agent,
      });
      const text = await answer.body.text();
      const {statusCode: status, headers} = answer;
      return {status, headers, isComplete: status < 400, text};
    } catch {
      return BROKEN_CONNECTION;
    }
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.agent.destroy();
  }
}

function readError(text: string): Partial<ErrorBody> {
  const {error} = JSON.parse(text) as {error?: ErrorBody};
  return {kind: error?.kind, ran: error?.ran};
}

function readJsonAnswer(text: string): Omit<CallResult, 'status' | 'headers'> {
  const body = JSON.parse(text) as {
    choices?: Array<{message: {content: string}}>;
  };
  const content = body.choices?.[0]?.message.content;
  if (content !== undefined) return {isComplete: true, text: content};
  return {isComplete: false, text: '', ...readError(text)};
}

async function readStream(
  body: AsyncIterable<Buffer>,
  frameLimit: number,
  stopReading: () => void,
): Promise<Omit<CallResult, 'status' | 'headers'>> {
  let text = '';
  let frames = 0;
  let isComplete = false;
  let error: Partial<ErrorBody> = {};
  const parser = createParser({
    onEvent({data}) {
      if (data === '[DONE]') {
        isComplete = true;
        return;
      }
      const frame = JSON.parse(data) as {
        error?: ErrorBody;
        choices?: Array<{delta: {content: string}}>;
      };
      if (frame.error) error = frame.error;
      text += frame.choices?.[0]?.delta.content ?? '';
      frames += 1;
      if (frames >= frameLimit) stopReading();
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, {stream: true}));
    }
  } catch {
    // A broken connection leaves the answer incomplete.
  }
  return {isComplete, text, kind: error.kind, ran: error.ran};
}
