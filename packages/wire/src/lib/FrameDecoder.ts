import {SycamoreheadError} from '@sycamorehead/schema';

const HEADER_BYTES = 4;

/** Maximum size of a frame body, in bytes. @public */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/**
 * Encodes one message as a frame: a four-byte big-endian length, then UTF-8 JSON.
 *
 * @throws SycamoreheadError `frame_invalid` if the message is too large.
 * @example
 * ```ts
 * encodeFrame({jsonrpc: '2.0', method: 'ping'}).readUInt32BE(0); // length of the JSON
 * ```
 * @public
 */
export function encodeFrame(message: unknown): Buffer {
  const body = Buffer.from(JSON.stringify(message), 'utf8');
  if (body.length > MAX_FRAME_BYTES) {
    throw new SycamoreheadError(
      'frame_invalid',
      `frame of ${body.length} bytes exceeds ${MAX_FRAME_BYTES}`,
    );
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/**
 * Decodes a byte stream into messages. Buffers at most one incomplete frame.
 *
 * @public
 */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private buffered = 0;

  /**
   * Adds the next bytes of the stream and returns the messages that they complete.
   *
   * @throws SycamoreheadError `frame_invalid` if a frame is too large or its body is not JSON.
   * @example
   * ```ts
   * new FrameDecoder().push(encodeFrame({a: 1})); // [{a: 1}]
   * ```
   */
  push(chunk: Buffer): unknown[] {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    const messages: unknown[] = [];
    for (;;) {
      const body = this.takeFrame();
      if (!body) return messages;
      messages.push(parseBody(body));
    }
  }

  private takeFrame(): Buffer | undefined {
    if (this.buffered < HEADER_BYTES) return undefined;
    const length = this.readLength();
    if (length > MAX_FRAME_BYTES) {
      throw new SycamoreheadError(
        'frame_invalid',
        `frame of ${length} bytes exceeds ${MAX_FRAME_BYTES}`,
      );
    }
    const size = HEADER_BYTES + length;
    if (this.buffered < size) return undefined;
    const all = this.joinChunks();
    this.chunks = all.length > size ? [all.subarray(size)] : [];
    this.buffered = all.length - size;
    return all.subarray(HEADER_BYTES, size);
  }

  private readLength(): number {
    const first = this.chunks[0];
    if (first && first.length >= HEADER_BYTES) return first.readUInt32BE(0);
    return this.joinChunks().readUInt32BE(0);
  }

  private joinChunks(): Buffer {
    const first = this.chunks[0];
    if (first && this.chunks.length === 1) return first;
    const all = Buffer.concat(this.chunks);
    this.chunks = [all];
    return all;
  }
}

function parseBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new SycamoreheadError('frame_invalid', 'frame body is not JSON', {
      cause: error,
    });
  }
}
