import {createParser} from 'eventsource-parser';
import {Agent, Dispatcher, request} from 'undici';
import {
  ChatChunk,
  ExecutionStatus,
  SycamoreheadError,
} from '@sycamorehead/schema';
import {readBounded} from '@sycamorehead/wire';
import type {AnswerFrame} from './AnswerFrame.js';
import {buildResetConnector} from './buildResetConnector.js';
import {findServiceViolation} from './findServiceViolation.js';
import type {FrameChecker} from './FrameChecker.js';
import {parseChunk} from './parseChunk.js';
import {StepTimer} from './StepTimer.js';

/** Time limits on calls to backend servers, in milliseconds. @public */
export interface BackendTimeouts {
  readonly connectMs: number;
  /** Limit on the time from the request to the headers of the response. */
  readonly firstByteMs: number;
  /** Limit on the time between two frames of an answer. */
  readonly betweenFramesMs: number;
  /** Limit on one call of a plain service, from connecting to the end of the response. */
  readonly serviceMs: number;
}

/** The timeouts used if the settings specify none. @public */
export const DEFAULT_BACKEND_TIMEOUTS: BackendTimeouts = {
  connectMs: 1_000,
  firstByteMs: 10_000,
  betweenFramesMs: 5_000,
  serviceMs: 30_000,
};

const CONNECTIONS_PER_SERVER = 512;
const KEEP_ALIVE_MS = 10_000;
/** Maximum number of bytes read after the terminal frame so that a connection can be reused. */
const MAX_DRAINED_BYTES = 16 * 1024;
/** Time allowed for these bytes, in milliseconds. */
const MAX_DRAIN_MS = 1_000;
/** Maximum number of bytes of a stream that bring no frame. */
const MAX_UNFRAMED_BYTES = 1024 * 1024;
/** Maximum number of bytes of an engine's error that are read. */
const MAX_ERROR_BYTES = 64 * 1024;
/** Maximum number of interim answers to one request. */
const MAX_INTERIM_ANSWERS = 16;

/** The data of the event that ends a stream. */
const END_MARK = '[DONE]';

/** Codes of errors that occur before any byte of the request reaches the server. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One attempt to get an answer, or the rest of it, from one engine. @public */
export interface EngineAttempt {
  readonly address: string;
  /** Request id and attempt number, unique to each attempt. */
  readonly attemptId: string;
  readonly body: string;
  /** Number of tokens already delivered by earlier attempts. */
  readonly resumeOffset: number;
  /** Priority in the engine's queue; lower values run first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

/** The complete response of a plain service. @public */
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
  /** Whether the call may run again; if not, it is sent on a new connection. */
  readonly isRepeatable: boolean;
}

/**
 * Sends requests to backend servers, over pooled connections unless a request may run only once.
 *
 * @public
 */
export class BackendClient {
  private readonly pooled: Agent;
  /**
   * Opens a new connection for each call. A pooled connection may have failed silently while idle,
   * and then it is unknown whether the call was run. A failure to connect proves that it was not.
   */
  private readonly unpooled: Agent;

  constructor(private readonly timeouts = DEFAULT_BACKEND_TIMEOUTS) {
    const options = {
      connections: CONNECTIONS_PER_SERVER,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: buildResetConnector(timeouts.connectMs),
      headersTimeout: timeouts.firstByteMs,
      bodyTimeout: timeouts.betweenFramesMs,
    };
    // One request at a time on each connection, so that a stalled request delays no other request.
    this.pooled = new Agent({...options, pipelining: 1});
    this.unpooled = new Agent({...options, pipelining: 0});
  }

  /**
   * Streams the frames of an engine's answer. Ends normally only after the terminal frame.
   *
   * @throws SycamoreheadError `backend_failed` with the known state of `ran`, or
   * `incomplete_answer` if the stream ended without its terminal frame.
   */
  async *streamChat(
    attempt: EngineAttempt,
    checker: FrameChecker,
  ): AsyncGenerator<AnswerFrame> {
    const timer = new StepTimer();
    try {
      yield* this.streamFrames(attempt, checker, timer);
    } finally {
      timer.stop();
    }
  }

  private async *streamFrames(
    attempt: EngineAttempt,
    checker: FrameChecker,
    timer: StepTimer,
  ): AsyncGenerator<AnswerFrame> {
    const {firstByteMs, betweenFramesMs} = this.timeouts;
    timer.start(firstByteMs, 'no head in time');
    const response = await this.send(`${attempt.address}/v1/chat/completions`, {
      method: 'POST',
      signal: AbortSignal.any([attempt.signal, timer.signal]),
      headers: {
        'content-type': 'application/json',
        'x-request-id': attempt.attemptId,
        'x-resume-offset': String(attempt.resumeOffset),
        'x-priority': String(attempt.priority),
      },
      body: attempt.body,
    });
    timer.start(betweenFramesMs, 'no frame in time');
    if (response.statusCode !== 200) throw await readErrorResponse(response);
    const {body} = response;
    // Without a listener, an error after the last read would end the process.
    body.on('error', () => {});
    let isFinished = false;
    const unframed = {bytes: 0};
    try {
      for await (const chunk of parseChunks(body, unframed)) {
        const frame = checker.check(chunk);
        if (!frame) continue;
        unframed.bytes = 0;
        // A caller that reads slowly must not count as silence of the engine.
        timer.stop();
        isFinished = frame.finishReason !== null;
        if (isFinished) releaseConnection(body);
        yield frame;
        if (isFinished) return;
        timer.start(betweenFramesMs, 'no frame in time');
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
   * @throws SycamoreheadError `backend_failed`; `ran` is `no` only if nothing was sent.
   */
  async callService(call: ServiceCallAttempt): Promise<ServiceResponse> {
    const abortController = new AbortController();
    const timer = setTimeout(
      () => abortController.abort(createTimeoutError(this.timeouts.serviceMs)),
      this.timeouts.serviceMs,
    );
    try {
      return await this.readServiceResponse(call, abortController.signal);
    } finally {
      clearTimeout(timer);
    }
  }

  private async readServiceResponse(
    call: ServiceCallAttempt,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const response = await this.send(
      call.url,
      {
        method: call.method as Dispatcher.HttpMethod,
        headers: {'accept-encoding': 'identity', ...call.headers},
        body: call.body,
        signal,
        // The timeout of the call covers the whole exchange; the pool's timeouts would race with
        // it.
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      call.isRepeatable ? this.pooled : this.unpooled,
    );
    const violation = findServiceViolation(response);
    if (violation !== undefined) {
      response.body.on('error', () => {});
      response.body.destroy();
      throw new SycamoreheadError('backend_failed', violation);
    }
    try {
      const body = await readWholeBody(response.body, call.maxResponseBytes);
      const contentType = String(
        response.headers['content-type'] ?? 'application/octet-stream',
      );
      return {status: response.statusCode, contentType, body};
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
    let interimAnswers = 0;
    const flood = new AbortController();
    const signals = [flood.signal, options.signal as AbortSignal];
    try {
      return await request(url, {
        ...options,
        dispatcher,
        signal: AbortSignal.any(signals),
        onInfo: () => {
          interimAnswers += 1;
          if (interimAnswers > MAX_INTERIM_ANSWERS) flood.abort();
        },
      });
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

async function readErrorResponse(
  response: Dispatcher.ResponseData,
): Promise<SycamoreheadError> {
  let ran: ExecutionStatus = 'unknown';
  try {
    const bytes = await readWholeBody(response.body, MAX_ERROR_BYTES);
    const body = JSON.parse(bytes.toString('utf8')) as {
      error?: {ran?: unknown};
    };
    if (body.error?.ran === 'no') ran = 'no';
  } catch {
    // Without a readable body it is unknown whether the request ran.
  }
  return new SycamoreheadError(
    'backend_failed',
    `the engine answered ${response.statusCode}`,
    {ran},
  );
}

/** Reads the rest of a finished response, so that its connection can be reused. */
function releaseConnection(body: Dispatcher.ResponseData['body']): void {
  const signal = AbortSignal.timeout(MAX_DRAIN_MS);
  void body.dump({limit: MAX_DRAINED_BYTES, signal}).catch(() => {});
}

/** Parses a stream up to its end mark; `unframed` counts its bytes, and the reader sets it back with each frame. */
async function* parseChunks(
  body: Dispatcher.ResponseData['body'],
  unframed: {bytes: number},
): AsyncGenerator<ChatChunk> {
  let parsedChunks: ChatChunk[] = [];
  let isEnded = false;
  const parser = createParser({
    onEvent({data}) {
      isEnded ||= data === END_MARK;
      if (!isEnded) parsedChunks.push(parseChunk(data));
    },
  });
  const decoder = new TextDecoder('utf-8', {fatal: true});
  // The end of this loop does not destroy the body, since the caller releases its connection.
  for await (const bytes of body.iterator({destroyOnReturn: false})) {
    unframed.bytes += bytes.length;
    if (unframed.bytes > MAX_UNFRAMED_BYTES) {
      throw new Error(`no frame within ${MAX_UNFRAMED_BYTES} bytes`);
    }
    parser.feed(decoder.decode(bytes, {stream: true}));
    const readyChunks = parsedChunks;
    parsedChunks = [];
    yield* readyChunks;
    if (isEnded) return;
  }
}

function readWholeBody(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> {
  return readBounded(
    body,
    maxBytes,
    () => new Error(`answer exceeds ${maxBytes} bytes`),
  );
}
