import {createParser} from 'eventsource-parser';
import {Agent, Dispatcher, request} from 'undici';
import {
  ChatChunk,
  ExecutionStatus,
  SycamoreheadError,
} from '@sycamorehead/schema';
import {readBounded} from '@sycamorehead/wire';
import type {AnswerFrame} from './AnswerFrame.js';
import type {FrameChecker} from './FrameChecker.js';
import {parseChunk} from './parseChunk.js';

/** Time limits on calls to backend servers, in milliseconds. @public */
export interface BackendTimeouts {
  readonly connectMs: number;
  /** Until the answer's head. */
  readonly firstByteMs: number;
  /** Between two frames of an answer. */
  readonly betweenFramesMs: number;
  /** For one call of a plain service, from its connection to its whole answer. */
  readonly serviceMs: number;
}

/** Timeouts used where the settings give none. @public */
export const DEFAULT_BACKEND_TIMEOUTS: BackendTimeouts = {
  connectMs: 1_000,
  firstByteMs: 10_000,
  betweenFramesMs: 5_000,
  serviceMs: 30_000,
};

const CONNECTIONS_PER_SERVER = 512;
const KEEP_ALIVE_MS = 10_000;
/** What may follow an answer's terminal frame on its connection. */
const MAX_REST_BYTES = 16 * 1024;

/** Errors raised before any byte of the request reached the server. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One attempt to get an answer, or the rest of it, from one engine. @public */
export interface EngineAttempt {
  readonly address: string;
  /** Request and attempt number, unique for each attempt. */
  readonly attemptId: string;
  readonly body: string;
  /** Tokens already delivered by earlier attempts. */
  readonly resumeOffset: number;
  /** Lower runs first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

/** A plain service's whole answer. @public */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** A call to a plain service. @public */
export interface ServiceCallAttempt {
  readonly url: string;
  readonly method: string;
  readonly headers: Record<string, string>;
  readonly body?: Buffer;
  readonly maxResponseBytes: number;
  /** Whether the call may run again; if not, it goes on a connection of its own. */
  readonly isRepeatable: boolean;
}

/**
 * Speaks to backend servers over pooled connections.
 *
 * @public
 */
export class BackendClient {
  private readonly pooled: Agent;
  /**
   * Takes a new connection for each call. A pooled one may have gone silent while idle, and then
   * nothing tells whether the call was run; a connection that cannot be opened proves that it was not.
   */
  private readonly unpooled: Agent;

  constructor(private readonly timeouts = DEFAULT_BACKEND_TIMEOUTS) {
    const options = {
      connections: CONNECTIONS_PER_SERVER,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: timeouts.connectMs},
      headersTimeout: timeouts.firstByteMs,
      bodyTimeout: timeouts.betweenFramesMs,
    };
    // One request at a time on each connection: one that goes silent holds up no other request.
    this.pooled = new Agent({...options, pipelining: 1});
    this.unpooled = new Agent({...options, pipelining: 0});
  }

  /**
   * Streams the frames of an engine's answer. Ends normally only after the terminal frame.
   *
   * @throws SycamoreheadError `backend_failed` with what is known of `ran`, or
   * `incomplete_answer` where the stream ended without its terminal frame.
   */
  async *streamChat(
    attempt: EngineAttempt,
    checker: FrameChecker,
  ): AsyncGenerator<AnswerFrame> {
    const answer = await this.send(`${attempt.address}/v1/chat/completions`, {
      method: 'POST',
      signal: attempt.signal,
      headers: {
        'content-type': 'application/json',
        'x-request-id': attempt.attemptId,
        'x-resume-offset': String(attempt.resumeOffset),
        'x-priority': String(attempt.priority),
      },
      body: attempt.body,
    });
    if (answer.statusCode !== 200) throw await readRefusal(answer);
    const {body} = answer;
    // An error after the last read belongs to nobody, but without a listener it ends the process.
    body.on('error', () => {});
    let isFinished = false;
    try {
      for await (const chunk of parseChunks(body)) {
        const frame = checker.check(chunk);
        if (!frame) continue;
        isFinished = frame.finishReason !== null;
        if (isFinished) releaseConnection(body);
        yield frame;
        if (isFinished) return;
      }
    } catch (error) {
      if (error instanceof SycamoreheadError) throw error;
      throw new SycamoreheadError('backend_failed', describeError(error), {
        cause: error,
      });
    } finally {
      if (!isFinished) body.destroy();
    }
    throw new SycamoreheadError(
      'incomplete_answer',
      'the stream ended without its terminal frame',
    );
  }

  /**
   * Calls a plain service and reads its whole answer.
   *
   * @throws SycamoreheadError `backend_failed`; `ran` is `no` only where nothing was sent.
   */
  async callService(call: ServiceCallAttempt): Promise<ServiceResponse> {
    const aborter = new AbortController();
    const timer = setTimeout(
      () => aborter.abort(createTimeoutError(this.timeouts.serviceMs)),
      this.timeouts.serviceMs,
    );
    try {
      return await this.readService(call, aborter.signal);
    } finally {
      clearTimeout(timer);
    }
  }

  private async readService(
    call: ServiceCallAttempt,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const answer = await this.send(
      call.url,
      {
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body,
        signal,
        // The call's own limit covers all of it; the pool's limits would race with it.
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      call.isRepeatable ? this.pooled : this.unpooled,
    );
    try {
      const body = await readWhole(answer.body, call.maxResponseBytes);
      const contentType = String(
        answer.headers['content-type'] ?? 'application/octet-stream',
      );
      return {status: answer.statusCode, contentType, body};
    } catch (error) {
      throw new SycamoreheadError('backend_failed', describeError(error), {
        cause: error,
      });
    }
  }

  /** Closes the pooled connections once they are idle. */
  async stop(): Promise<void> {
    await Promise.all([this.pooled.close(), this.unpooled.close()]);
  }

  private async send(
    url: string,
    options: Omit<Dispatcher.RequestOptions, 'origin' | 'path'>,
    dispatcher: Agent = this.pooled,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(url, {...options, dispatcher});
    } catch (error) {
      throw new SycamoreheadError('backend_failed', describeError(error), {
        ran: isUnsent(error) ? 'no' : 'unknown',
        cause: error,
      });
    }
  }
}

function createTimeoutError(serviceMs: number): SycamoreheadError {
  return new SycamoreheadError(
    'timeout',
    `the service did not answer within ${serviceMs} ms`,
  );
}

function isUnsent(error: unknown): boolean {
  const {code} = error as {code?: string};
  return code !== undefined && UNSENT_CODES.has(code);
}

function describeError(error: unknown): string {
  const {code, message} = error as {code?: string; message?: string};
  return code ?? message ?? String(error);
}

async function readRefusal(
  answer: Dispatcher.ResponseData,
): Promise<SycamoreheadError> {
  let ran: ExecutionStatus = 'unknown';
  try {
    const body = (await answer.body.json()) as {error?: {ran?: unknown}};
    if (body.error?.ran === 'no') ran = 'no';
  } catch {
    // A refusal without a readable body proves nothing, so `ran` stays unknown.
  }
  return new SycamoreheadError(
    'backend_failed',
    `the engine answered ${answer.statusCode}`,
    {ran},
  );
}

/** Reads the rest of a finished answer, so that its connection can be used again. */
function releaseConnection(body: Dispatcher.ResponseData['body']): void {
  void body.dump({limit: MAX_REST_BYTES}).catch(() => {});
}

async function* parseChunks(
  body: Dispatcher.ResponseData['body'],
): AsyncGenerator<ChatChunk> {
  let parsed: ChatChunk[] = [];
  const parser = createParser({
    onEvent({data}) {
      if (data !== '[DONE]') parsed.push(parseChunk(data));
    },
  });
  const decoder = new TextDecoder();
  // The body outlives this loop: its connection is released by whoever reads the chunks.
  for await (const bytes of body.iterator({destroyOnReturn: false})) {
    parser.feed(decoder.decode(bytes, {stream: true}));
    const ready = parsed;
    parsed = [];
    yield* ready;
  }
}

function readWhole(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  return readBounded(
    body,
    maxBytes,
    () => new Error(`answer exceeds ${maxBytes} bytes`),
  );
}
