import type {Socket} from 'node:net';
import {createLogger} from '@sycamorehead/telemetry';
import {FrameDecoder, encodeFrame} from './FrameDecoder.js';

const log = createLogger('wire');

/** Buffered bytes above which a peer is considered stalled and the socket destroyed. @internal */
export const MAX_UNSENT_BYTES = 64 * 1024 * 1024;

/** Time for which a closed channel still flushes its buffered messages, in milliseconds. */
const FLUSH_LIMIT_MS = 500;

/** How a channel treats its other end; may change while it is open. @public */
export interface ChannelOptions {
  readonly decoder: FrameDecoder;
  /** Buffered bytes above which the socket is destroyed. */
  readonly maxUnsentBytes: number;
}

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
  options: ChannelOptions = {
    decoder: new FrameDecoder(),
    maxUnsentBytes: MAX_UNSENT_BYTES,
  },
): MessageChannel {
  socket.setNoDelay(true);
  return {
    open(onMessage, onClose, onBytes) {
      socket.on('data', chunk => {
        onBytes(chunk.length);
        try {
          for (const message of options.decoder.push(chunk)) onMessage(message);
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
      if (socket.writableLength > options.maxUnsentBytes) socket.destroy();
    },
    close() {
      // Buffered messages are still flushed, unless the other end has stopped reading.
      socket.destroySoon();
      setTimeout(() => socket.destroy(), FLUSH_LIMIT_MS).unref();
    },
  };
}
