import http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {SilenceTimeouts} from '@sycamorehead/routing';
import type {HeaderNames} from './headerNames.js';
import {SilenceTimer} from './SilenceTimer.js';
import type {ServerAgent} from './ServerAgent.js';

/** Time allowed for a new connection, in milliseconds; data centres are milliseconds apart. */
const CONNECT_TIMEOUT_MS = 350;

/** One send of a request to one backend server. @public */
export interface AttemptRequest {
  readonly agent: ServerAgent;
  /** `IP:PORT`. */
  readonly address: string;
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly requestId: string;
  /** Id of the server that is meant. */
  readonly expectedServer: string;
  readonly names: HeaderNames;
  /** How long to wait for the head of the answer. */
  readonly headTimeouts: SilenceTimeouts;
  /** Whether the server was heard lately, on any connection. */
  isServerActive(): boolean;
  /** Aborted once the answer is no longer wanted. */
  readonly signal: AbortSignal;
}

/** The head of a sound answer; the body is still to be read. @public */
export interface ServerAnswer {
  readonly status: number;
  readonly message: IncomingMessage;
  /** A model's own opinion of its answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** Whether the body has arrived whole; asked once it has ended. */
  isComplete(): boolean;
  /** Ends the answer and the server's work on it. */
  cancel(): void;
}

/** How one send ended. @public */
export type AttemptOutcome =
  /** No byte of the request has left. */
  | {readonly type: 'unsent'; readonly reason: string}
  /** The server says that it did not run the request. */
  | {
      readonly type: 'refused';
      readonly status: number;
      /** Another server has the address by now. */
      readonly isMisdirected: boolean;
    }
  /** The request may have run. */
  | {readonly type: 'lost'; readonly reason: string}
  | {readonly type: 'answered'; readonly answer: ServerAnswer};

/** Statuses that promise by themselves that the request was not run. */
const MISDIRECTED = 421;

/**
 * Sends a request to one backend server, once, and returns once the head of an answer is there.
 * Nothing is sent again by itself.
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
    let mayHaveLeft = false;
    let reason = '';
    const cut = address.lastIndexOf(':');
    const request = http.request({
      host: address.slice(0, cut),
      port: Number(address.slice(cut + 1)),
      method: attempt.method,
      path: attempt.target,
      headers: attempt.headers as string[],
      agent,
      setHost: false,
    });
    const cancel = (why: string) => {
      reason ||= why;
      request.destroy();
    };
    const connectTimer = setTimeout(
      () => cancel('no connection in time'),
      Math.min(CONNECT_TIMEOUT_MS, attempt.headTimeouts.activeServerMs),
    );
    const headTimer = new SilenceTimer(
      () => attempt.isServerActive(),
      () => cancel('no answer in time'),
    );
    const waitForHead = () => {
      mayHaveLeft = true;
      clearTimeout(connectTimer);
      headTimer.start(attempt.headTimeouts);
    };
    const handleAbort = () => cancel('no longer wanted');
    const settle = (outcome: AttemptOutcome) => {
      clearTimeout(connectTimer);
      headTimer.stop();
      resolve(outcome);
    };
    signal.addEventListener('abort', handleAbort, {once: true});
    request.on('socket', socket => {
      if (socket.connecting) socket.once('connect', waitForHead);
      else waitForHead();
    });
    request.on('error', error => {
      settle({
        type: mayHaveLeft ? 'lost' : 'unsent',
        reason: reason || error.message,
      });
    });
    request.on('close', () => {
      signal.removeEventListener('abort', handleAbort);
      settle({
        type: mayHaveLeft ? 'lost' : 'unsent',
        reason: reason || 'closed',
      });
    });
    request.on('response', message => {
      const outcome = classifyHead(attempt, message, () => cancel('cancelled'));
      if (outcome.type !== 'answered') dropAnswer(message, outcome);
      settle(outcome);
    });
    request.end(body);
  });
}

function classifyHead(
  {names, requestId, expectedServer}: AttemptRequest,
  message: IncomingMessage,
  cancel: () => void,
): AttemptOutcome {
  const {headers, statusCode: status = 0} = message;
  const echoed = headers[names.requestId];
  if (echoed !== undefined && echoed !== requestId) {
    return {type: 'lost', reason: 'the answer belongs to another request'};
  }
  if (status === MISDIRECTED || headers[names.notExecuted] !== undefined) {
    const answering = headers[names.serverId];
    const isMisdirected =
      status === MISDIRECTED &&
      answering !== undefined &&
      answering !== expectedServer;
    return {type: 'refused', status, isMisdirected};
  }
  if (echoed === undefined) {
    return {type: 'lost', reason: 'the answer names no request'};
  }
  if (headers['content-encoding'] !== undefined) {
    return {type: 'lost', reason: 'the answer is encoded'};
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && headers[names.signature] === undefined) {
    return {type: 'lost', reason: 'the answer is not signed'};
  }
  const confidence = Number(headers[names.confidence] ?? NaN);
  const wasReset = watchForReset(message);
  return {
    type: 'answered',
    answer: {
      status,
      message,
      confidence: Number.isFinite(confidence) ? confidence : undefined,
      isComplete: () => message.complete && !wasReset(),
      cancel,
    },
  };
}

/**
 * Watches for a reset of the connection, which node:http takes for the end of an answer that has
 * no length; a reset that arrives together with the last bytes is even reported as an end.
 */
function watchForReset(message: IncomingMessage): () => boolean {
  const {socket} = message;
  let isReset = false;
  const noteReset = () => (isReset = true);
  // After a reset, unlike after a regular end, the system no longer knows the other end.
  const checkPeer = () => (isReset ||= socket.remoteAddress === undefined);
  socket.once('error', noteReset);
  socket.prependOnceListener('end', checkPeer);
  message.once('close', () => {
    socket.removeListener('error', noteReset);
    socket.removeListener('end', checkPeer);
  });
  return () => isReset;
}

/** Reads a short refusal to its end, so that its connection can be kept; else closes it. */
function dropAnswer(message: IncomingMessage, {type}: AttemptOutcome): void {
  message.on('error', () => {
    // The connection is closed with it; the outcome is settled already.
  });
  if (type === 'refused') message.resume();
  else message.destroy();
}

/**
 * Describes an outcome in a log line.
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
