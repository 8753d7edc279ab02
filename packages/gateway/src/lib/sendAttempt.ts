import http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {
  SilenceTimeouts,
  parseRateLimit,
  parseRetryAfter,
} from '@sycamorehead/routing';
import {dropRest, endExchange, resetExchange} from './cancelExchange.js';
import {findHeadDefect} from './findHeadDefect.js';
import {findHeadViolation} from './findHeadViolation.js';
import type {HeaderNames} from './headerNames.js';
import {isSuccessStatus} from './isSuccessStatus.js';
import {listValues} from './listValues.js';
import {ReadLimit} from './ReadLimit.js';
import {SilenceTimer} from './SilenceTimer.js';
import type {ConnectionUse, ServerAgent} from './ServerAgent.js';
import type {ServerNotice} from './ServerNotices.js';
import {splitAddress} from './splitAddress.js';

/** Time allowed for a new connection, in milliseconds; data centres are milliseconds apart. */
const CONNECT_TIMEOUT_MS = 350;

/** Maximum number of bytes before the end of the head, interim answers among them. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Opens a connection for each request. */
const UNSHARED_AGENT = new http.Agent({keepAlive: false, noDelay: true});

/** One send of a request to one backend server. @public */
export interface AttemptRequest {
  readonly agent: ServerAgent;
  /** Whether the server refused the request before; this send then gets a connection of its own. */
  readonly wasRefused: boolean;
  /** `IP:PORT`. */
  readonly address: string;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly requestId: string;
  /** Id of the intended server. */
  readonly expectedServer: string;
  readonly names: HeaderNames;
  /**
   * Whether the route declares its answers as event streams. A send that is abandoned is then settled
   * only once the server has ended the work.
   */
  readonly isStream: boolean;
  /** How long to wait for the head of the answer. */
  readonly headTimeouts: SilenceTimeouts;
  /** Returns whether anything was recently received from the server, on any connection. */
  isServerActive(): boolean;
  /** Returns whether the send may still be made; asked once a new connection is open. */
  mayStillSend(): boolean;
  /** Called once the request has been assigned a connection. */
  onConnection(use: ConnectionUse): void;
  /** Called before the outcome is known with what the server says of itself in its answer. */
  onServerNotice(notice: ServerNotice): void;
  /** Aborted once the answer is no longer needed. */
  readonly signal: AbortSignal;
}

/** The head of a valid answer; the body is still to be read. @public */
export interface ServerAnswer {
  readonly status: number;
  readonly message: IncomingMessage;
  /** The confidence of a model in its answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** Whether the end of the body is marked; otherwise the end of the connection is its end. */
  readonly isFramed: boolean;
  /** Returns whether the body has arrived completely; called once it has ended. */
  isComplete(): boolean;
  /**
   * Cancels the answer and the server's work on it; resolves to whether the server has ended the work.
   */
  cancel(): Promise<boolean>;
}

/** The outcome of one send. @public */
export type AttemptOutcome =
  /** No byte of the request was sent. */
  | {readonly type: 'unsent'; readonly reason: string}
  /** The server reports that it did not run the request. */
  | {
      readonly type: 'refused';
      readonly status: number;
      /** Whether another server now has the address. */
      readonly isMisdirected: boolean;
    }
  /** The request may have run. */
  | {
      readonly type: 'lost';
      readonly reason: string;
      /** Whether it was abandoned although the server is active. */
      readonly isSlow?: boolean;
      /** Whether the server has ended the work, as far as its connection shows. */
      readonly isEnded: boolean;
    }
  | {readonly type: 'answered'; readonly answer: ServerAnswer};

/** Status that guarantees, even without the header `notExecuted`, that the request was not run. */
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;
const LEAVING_VALUE = '1';
const CHUNKED = 'chunked';

/**
 * Sends a request to one backend server once and resolves when the head of an answer has arrived.
 * Nothing is retried automatically.
 *
 * @example
 * ```ts
 * const outcome = await sendAttempt(attempt);
 * if (outcome.type === 'refused') tryAnotherServer();
 * ```
 * @public
 */
export function sendAttempt(attempt: AttemptRequest): Promise<AttemptOutcome> {
  return new Promise(resolve => {
    const {address, agent, signal, body} = attempt;
    if (signal.aborted) {
      resolve({type: 'unsent', reason: 'the caller has gone'});
      return;
    }
    let mayHaveSent = false;
    let reason = '';
    let isSlow = false;
    let headLimit: ReadLimit | undefined;
    const request = http.request({
      ...splitAddress(address),
      method: attempt.method,
      path: attempt.target,
      headers: attempt.headers as string[],
      // A copy of the refusal may follow on its connection, with the id of the same request.
      agent: attempt.wasRefused ? UNSHARED_AGENT : agent,
      setHost: false,
    });
    // Otherwise node:http drops headers beyond a number without an error.
    request.maxHeadersCount = 0;
    let cancellation: Promise<boolean> | undefined;
    const abort = (cause: string) => {
      reason ||= cause;
      cancellation ??= Promise.resolve(false);
      resetExchange(request);
    };
    const cancel = (cause: string): Promise<boolean> => {
      if (!attempt.isStream) abort(cause);
      reason ||= cause;
      cancellation ??= endExchange(request);
      return cancellation;
    };
    const settle = (outcome: AttemptOutcome) => {
      clearTimeout(connectTimer);
      headTimer.stop();
      headLimit?.stop();
      resolve(outcome);
    };
    const settleLost = (isEnded: boolean) =>
      settle({type: 'lost', reason, isSlow, isEnded});
    const settleFailure = (message: string) => {
      reason ||= message;
      if (!mayHaveSent) settle({type: 'unsent', reason});
      else if (cancellation) void cancellation.then(settleLost);
      else settleLost(true);
    };
    const handleAbort = () => {
      abort('no longer wanted');
      if (mayHaveSent) settleLost(false);
    };
    const connectTimer = setTimeout(
      () => abort('no connection in time'),
      Math.min(CONNECT_TIMEOUT_MS, attempt.headTimeouts.activeServerMs),
    );
    const headTimer = new SilenceTimer(
      () => attempt.isServerActive(),
      () => {
        isSlow = attempt.isServerActive();
        void cancel('no answer in time').then(settleLost);
      },
    );
    const waitForHead = (socket: Socket) => {
      mayHaveSent = true;
      clearTimeout(connectTimer);
      headTimer.start(attempt.headTimeouts);
      headLimit = new ReadLimit(socket, MAX_HEAD_BYTES, () => {
        void cancel('no end of the head').then(settleLost);
      });
    };
    signal.addEventListener('abort', handleAbort, {once: true});
    request.on('socket', socket => {
      attempt.onConnection(agent.recordUse(socket));
      if (!socket.connecting) {
        waitForHead(socket);
        return;
      }
      socket.once('connect', () => {
        if (attempt.mayStillSend()) waitForHead(socket);
        else abort('no longer permitted');
      });
    });
    request.on('error', error => settleFailure(error.message));
    request.on('close', () => {
      signal.removeEventListener('abort', handleAbort);
      settleFailure('closed');
    });
    request.on('response', message => {
      if (cancellation) {
        dropBody(message);
        return;
      }
      const notice = readNotice(attempt, message);
      if (notice) attempt.onServerNotice(notice);
      const outcome = classifyHead(attempt, message, {
        isUploaded: () => request.writableFinished,
        isCancelled: () => cancellation !== undefined,
        cancel: () => {
          message.resume();
          return cancel('cancelled');
        },
      });
      if (outcome.type === 'answered') {
        settle(outcome);
        return;
      }
      if (outcome.type !== 'lost') {
        dropRest(request, message);
        settle(outcome);
        return;
      }
      dropBody(message);
      void cancel(outcome.reason).then(settleLost);
    });
    request.end(body);
  });
}

/** An answer that says nothing about the request. */
interface InvalidAnswer {
  readonly type: 'lost';
  readonly reason: string;
}

/** Reads what the intended server says of itself in the head of an answer to this request. */
function readNotice(
  {names, requestId, expectedServer}: AttemptRequest,
  {headers, statusCode}: IncomingMessage,
): ServerNotice | undefined {
  const answering = headers[names.serverId] ?? expectedServer;
  const echoed = headers[names.requestId] ?? requestId;
  const isFromExpected =
    statusCode !== MISDIRECTED_STATUS &&
    answering === expectedServer &&
    echoed === requestId;
  if (!isFromExpected) return undefined;
  // node:http joins repeated headers with commas.
  const leaving = String(headers[names.serverLeaving] ?? '').split(',');
  const isLeaving = leaving.some(value => value.trim() === LEAVING_VALUE);
  const holdMs =
    statusCode === UNAVAILABLE_STATUS
      ? parseRetryAfter(headers['retry-after'])
      : undefined;
  const limit = parseRateLimit(headers[names.serverLimit]);
  const coldMs = parseColdMs(headers[names.coldMs]);
  return {isLeaving, holdMs, limit, coldMs};
}

/** Reads for how long a server stays cold; undefined if the header is absent or malformed. */
function parseColdMs(value: unknown): number | undefined {
  const isNumber = typeof value === 'string' && /^\d{1,9}$/.test(value);
  return isNumber ? Number(value) : undefined;
}

/** The state of a send whose answer has begun. */
interface SendProgress {
  /** Returns whether the whole request has been written. */
  isUploaded(): boolean;
  isCancelled(): boolean;
  cancel(): Promise<boolean>;
}

function classifyHead(
  {names, requestId, expectedServer, isStream, method}: AttemptRequest,
  message: IncomingMessage,
  {isUploaded, isCancelled, cancel}: SendProgress,
): AttemptOutcome | InvalidAnswer {
  const {headers, statusCode: status = 0} = message;
  const echoed = headers[names.requestId];
  if (echoed === undefined) {
    return {type: 'lost', reason: 'the answer names no request'};
  }
  if (echoed !== requestId) {
    return {type: 'lost', reason: 'the answer belongs to another request'};
  }
  const defect = findHeadDefect(message, names);
  if (defect !== undefined) return {type: 'lost', reason: defect};
  if (
    status === MISDIRECTED_STATUS ||
    headers[names.notExecuted] !== undefined
  ) {
    const answering = headers[names.serverId];
    const isMisdirected =
      status === MISDIRECTED_STATUS &&
      answering !== undefined &&
      answering !== expectedServer;
    return {type: 'refused', status, isMisdirected};
  }
  if (isEncoded(message)) {
    return {type: 'lost', reason: 'the answer is encoded'};
  }
  if (isSuccessStatus(status)) {
    const signatures = listValues(message, names.signature);
    signatures.delete('');
    if (signatures.size !== 1) {
      const reason = `the answer has ${signatures.size} signatures`;
      return {type: 'lost', reason};
    }
    const violation =
      isStream && method !== 'HEAD' ? findHeadViolation(message) : undefined;
    if (violation !== undefined) return {type: 'lost', reason: violation};
  }
  const confidence = Number(headers[names.confidence] ?? NaN);
  const wasReset = watchForReset(message);
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  // Before the request was written, the end of the connection may be a server that gives up.
  const hasEnd = () => isFramed || hasNoBody || isUploaded();
  return {
    type: 'answered',
    answer: {
      status,
      message,
      isFramed,
      confidence: Number.isFinite(confidence) ? confidence : undefined,
      // The server may end an answer without a length because it was cancelled.
      isComplete: () =>
        message.complete && hasEnd() && !wasReset() && !isCancelled(),
      cancel,
    },
  };
}

/** Returns whether the bytes of the body are not those that the server has signed. */
function isEncoded({headers}: IncomingMessage): boolean {
  const coding = headers['transfer-encoding'] ?? CHUNKED;
  return (
    headers['content-encoding'] !== undefined ||
    coding.toLowerCase() !== CHUNKED
  );
}

/**
 * Watches for a reset of the connection, which node:http treats as the end of an answer without a
 * length. A reset that arrives together with the last bytes is even reported as a regular end.
 */
function watchForReset(message: IncomingMessage): () => boolean {
  const {socket} = message;
  let isReset = false;
  const markReset = () => (isReset = true);
  // After a reset, unlike after a regular end, the socket has no remote address.
  const checkPeer = () => (isReset ||= socket.remoteAddress === undefined);
  socket.once('error', markReset);
  socket.prependOnceListener('end', checkPeer);
  message.once('close', () => {
    socket.removeListener('error', markReset);
    socket.removeListener('end', checkPeer);
  });
  return () => isReset;
}

/** Reads the body of a cancelled answer, so that its connection is seen to close. */
function dropBody(message: IncomingMessage): void {
  message.on('error', () => {
    // The connection is closed with the message; the outcome is settled otherwise.
  });
  message.resume();
}

/**
 * Describes an outcome for a log line.
 *
 * @example
 * ```ts
 * describeOutcome({type: 'lost', reason: 'closed'}); // 'lost (closed)'
 * ```
 * @public
 */
export function describeOutcome(outcome: AttemptOutcome): string {
  switch (outcome.type) {
    case 'answered':
      return String(outcome.answer.status);
    case 'refused':
      return `refused ${outcome.status}`;
    case 'unsent':
    case 'lost':
      return `${outcome.type} (${outcome.reason})`;
  }
}
