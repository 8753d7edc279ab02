import type {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {buildConnector, errors} from 'undici';

const RESET_REASON = 'the connection was reset';

/**
 * Builds a connector for undici whose connections report a reset as a failure. undici takes it for the end
 * of an answer without a length, which then looks complete.
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
    const isReset = event === 'end' && socket.remoteAddress === undefined;
    if (!isReset) return emit(event, ...values);
    socket.destroy(new errors.SocketError(RESET_REASON));
    return true;
  };
}
