import type {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {buildConnector, errors} from 'undici';

const RESET_REASON = 'the connection was reset';
const EARLY_END_REASON = 'the connection ended before the request was written';

/**
 * Builds a connector for undici whose connections report as a failure that they are reset, or end before
 * the request has been written. undici takes both for the end of an answer without a length, which then
 * looks complete.
 *
 * @example
 * ```ts
 * new Agent({connect: buildResetConnector(1_000)});
 * ```
 * @internal
 */
export function buildResetConnector(
  connectMs: number,
): buildConnector.connector {
  const connect = buildConnector({timeout: connectMs});
  return (options, callback) =>
    connect(options, (...result: buildConnector.CallbackArgs) => {
      const [, socket] = result;
      if (socket) watchForReset(socket);
      callback(...result);
    });
}

/** Watches a connection before undici does, which adds its listeners later. */
function watchForReset(socket: Socket): void {
  socket.on('error', error => {
    if ((error as NodeJS.ErrnoException).code !== 'ECONNRESET') return;
    Object.assign(error, {code: new errors.SocketError(RESET_REASON).code});
  });
  // A reset that arrives together with the last bytes is reported as a regular end, but the socket has no
  // remote address then. A listener could not keep the event from those of undici.
  const emit = socket.emit.bind(socket) as EventEmitter['emit'];
  socket.emit = (event: string | symbol, ...values: unknown[]) => {
    const reason = event === 'end' ? findEndDefect(socket) : undefined;
    if (reason === undefined) return emit(event, ...values);
    socket.destroy(new errors.SocketError(reason));
    return true;
  };
}

/** Returns why the end of a connection is not the regular end of an answer; undefined if it may be. */
function findEndDefect(socket: Socket): string | undefined {
  if (socket.remoteAddress === undefined) return RESET_REASON;
  return socket.writableLength > 0 ? EARLY_END_REASON : undefined;
}
