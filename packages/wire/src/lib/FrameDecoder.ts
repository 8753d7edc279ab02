import {SycamoreheadError} from '@sycamorehead/schema';
import {GrowingBuffer} from './GrowingBuffer.js';

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
  private readonly buffer = new GrowingBuffer();

  /** @param maxBytes Maximum size of a frame body, in bytes. */
  constructor(private maxBytes = MAX_FRAME_BYTES) {}

  /** Changes the maximum size of a frame body. */
  setMaxBytes(maxBytes: number): void {
    this.maxBytes = maxBytes;
  }

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
    const {buffer} = this;
    const isWhole = buffer.length === 0;
    if (!isWhole) buffer.append(chunk);
    const data = isWhole ? chunk : buffer.bytes;
    const messages: unknown[] = [];
    let start = 0;
    for (;;) {
      const end = this.findEnd(data, start);
      if (end === undefined || end > data.length) break;
      messages.push(parseBody(data.subarray(start + HEADER_BYTES, end)));
      start = end;
    }
    if (!isWhole) buffer.drop(start);
    else if (start < chunk.length) buffer.append(chunk.subarray(start));
    return messages;
  }

  /** Returns the position behind the frame at `start`, or undefined if its length has not arrived. */
  private findEnd(data: Buffer, start: number): number | undefined {
    if (data.length - start < HEADER_BYTES) return undefined;
    const length = data.readUInt32BE(start);
    if (length <= this.maxBytes) return start + HEADER_BYTES + length;
    throw new SycamoreheadError(
      'frame_invalid',
      `frame of ${length} bytes exceeds ${this.maxBytes}`,
    );
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
