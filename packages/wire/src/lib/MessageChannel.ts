import type {Socket} from 'node:net';
import {createLogger} from '@sycamorehead/telemetry';
import {FrameDecoder, encodeFrame} from './FrameDecoder.js';

const log = createLogger('wire');

/** Buffered bytes above which the other end is considered stalled and the socket destroyed. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;

/** Time for which a closed channel still flushes its buffered messages, in milliseconds. */
const FLUSH_LIMIT_MS = 500;

/**
 * A bidirectional channel of JSON messages: a socket, or a fake in tests.
 *
 * @public
 */
export interface MessageChannel {
  /**
   * Starts the delivery of messages. Must not be called again. `onBytes` is called with the number of bytes
   * whenever some have arrived, also those of a message that is not complete yet.
   */
  open(
    onMessage: (message: unknown) => void,
    onClose: () => void,
    onBytes: (count: number) => void,
  ): void;
  send(message: unknown): void;
  close(): void;
}

/**
 * Creates a channel that sends each message as a frame over a connected TCP socket.
 *
 * @example
 * ```ts
 * const link = new PeerLink(createSocketChannel(socket), {});
 * ```
 * @public
 */
export function createSocketChannel(
  socket: Socket,
  decoder = new FrameDecoder(),
): MessageChannel {
  socket.setNoDelay(true);
  return {
    open(onMessage, onClose, onBytes) {
      socket.on('data', chunk => {
        onBytes(chunk.length);
        try {
          for (const message of decoder.push(chunk)) onMessage(message);
        } catch (error) {
          log('invalid_frame', {error: String(error)});
          socket.destroy();
        }
      });
      socket.on('error', error => log('socket_error', {error: error.message}));
      socket.on('close', onClose);
    },
    send(message) {
      if (socket.destroyed) return;
      socket.write(encodeFrame(message));
      if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
    },
    close() {
      // Buffered messages are still flushed, unless the other end has stopped reading.
      socket.destroySoon();
      setTimeout(() => socket.destroy(), FLUSH_LIMIT_MS).unref();
    },
  };
}
