import type {Socket} from 'node:net';
import {createLogger} from '@sycamorehead/telemetry';
import {FrameDecoder, encodeFrame} from './FrameDecoder.js';

const log = createLogger('wire');

/** Unsent bytes beyond which a socket's other end counts as stuck. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;

/** Time for which a closed channel still sends what it was given, in milliseconds. */
const FLUSH_LIMIT_MS = 500;

/**
 * A two-way channel of JSON messages: a socket in production, a fake in tests.
 *
 * @public
 */
export interface MessageChannel {
  /** Begins delivery; called once. */
  open(onMessage: (message: unknown) => void, onClose: () => void): void;
  send(message: unknown): void;
  close(): void;
}

/**
 * Wraps a connected TCP socket as a channel of frames.
 *
 * @example
 * ```ts
 * const link = new PeerLink(createSocketChannel(socket), {});
 * ```
 * @public
 */
export function createSocketChannel(socket: Socket): MessageChannel {
  const decoder = new FrameDecoder();
  socket.setNoDelay(true);
  return {
    open(onMessage, onClose) {
      socket.on('data', chunk => {
        try {
          for (const message of decoder.push(chunk)) onMessage(message);
        } catch (error) {
          log('bad_frame', {error: String(error)});
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
      // What was sent still leaves, unless the other end takes nothing any more.
      socket.destroySoon();
      setTimeout(() => socket.destroy(), FLUSH_LIMIT_MS).unref();
    },
  };
}
