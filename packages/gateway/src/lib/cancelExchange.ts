import type {ClientRequest, IncomingMessage} from 'node:http';
import {ReadLimit} from './ReadLimit.js';

/** Time allowed for a server to close the connection of a cancelled request, in milliseconds. */
const CONFIRM_MS = 200;
/** Maximum number of bytes that are read meanwhile. */
const MAX_CONFIRM_BYTES = 256 * 1024;
/** Time allowed for the rest of an answer that is not needed, in milliseconds. */
const DROP_MS = 200;
/** Maximum number of bytes of such a rest. */
const MAX_DROPPED_BYTES = 64 * 1024;

/**
 * Resets the connection of a request, which cancels the server's work on it. A server may take a
 * regular close for one of the sending side only, and go on.
 *
 * @example
 * ```ts
 * resetExchange(request);
 * ```
 * @internal
 */
export function resetExchange(request: ClientRequest): void {
  const {socket} = request;
  // Node.js leaks a socket that is reset while the end of its sending side is still pending.
  const isResettable = !socket?.connecting && !socket?.writableEnded;
  if (isInUse(request) && isResettable) socket?.resetAndDestroy();
  request.destroy();
}

/**
 * Closes the sending side of a request's connection, which cancels the server's work on it, and waits
 * until the server closes the other side. Closes the connection even if it does not, or sends on.
 *
 * @returns whether the server has closed the connection, which shows that it has ended the work.
 * @example
 * ```ts
 * if (await endExchange(request)) sendElsewhere();
 * ```
 * @internal
 */
export function endExchange(request: ClientRequest): Promise<boolean> {
  const {socket} = request;
  if (!isInUse(request) || !socket || socket.connecting) {
    request.destroy();
    return Promise.resolve(true);
  }
  return new Promise(resolve => {
    const finish = (isConfirmed: boolean) => {
      clearTimeout(timer);
      limit.stop();
      socket.removeListener('end', confirm);
      socket.removeListener('close', confirm);
      request.destroy();
      resolve(isConfirmed);
    };
    const confirm = () => finish(true);
    const abortRead = () => finish(false);
    const timer = setTimeout(abortRead, CONFIRM_MS);
    const limit = new ReadLimit(socket, MAX_CONFIRM_BYTES, abortRead);
    socket.once('end', confirm);
    socket.once('close', confirm);
    socket.end();
  });
}

/**
 * Reads the rest of an answer that is not needed, so that its connection can be reused. Resets the
 * connection of a rest that is long or late.
 *
 * @example
 * ```ts
 * if (isRefusal(message)) dropRest(request, message);
 * ```
 * @internal
 */
export function dropRest(
  request: ClientRequest,
  message: IncomingMessage,
): void {
  const abortRead = () => resetExchange(request);
  const timer = setTimeout(abortRead, DROP_MS);
  const limit = new ReadLimit(message.socket, MAX_DROPPED_BYTES, abortRead);
  message.on('error', () => {
    // The connection is closed with the message; the outcome is settled otherwise.
  });
  message.once('close', () => {
    clearTimeout(timer);
    limit.stop();
  });
  message.resume();
}

/** Returns whether a connection serves a request; that of a request that is over may serve the next. */
function isInUse({destroyed, socket}: ClientRequest): boolean {
  return !destroyed && socket !== null && !socket.destroyed;
}
