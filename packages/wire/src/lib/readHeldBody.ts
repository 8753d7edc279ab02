import type {IncomingMessage, ServerResponse} from 'node:http';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {ErrorKind} from '@sycamorehead/schema';
import {getBodyFlow} from './BodyFlow.js';
import {GrowingBuffer} from './GrowingBuffer.js';
import type {ClientRefusal, HeldBody, HeldBytes} from './HeldBytes.js';

/**
 * Time within which a body has to be whole, in milliseconds. No client waits for an answer longer than
 * 25 s.
 */
const BODY_TIMEOUT_MS = 30_000;
const NO_BYTES = Buffer.alloc(0);

const REFUSALS: Partial<Record<ClientRefusal, [ErrorKind, string]>> = {
  body_slow: ['request_timeout', 'the body took too long'],
  body_stalled: ['request_timeout', 'the body made no progress'],
};
const NO_ROOM: [ErrorKind, string] = ['overloaded', 'no room for the body'];

/** Settings of readHeldBody. @public */
export interface HeldBodyOptions {
  readonly held: HeldBytes;
  readonly maxBytes: number;
  /** Additional details of the error of a body that is too large. */
  readonly field?: string;
}

/**
 * Reads the complete body of a request into memory. Its bytes count as held until the response is closed.
 * After an error the connection is closed with the response, since the rest of the body could not be told
 * from the next request.
 *
 * @throws SycamoreheadError `body_too_large`, `request_timeout` or `overloaded`, or `caller_gone` if it ends
 *     early.
 * @example
 * ```ts
 * const body = await readHeldBody(message, response, {held, maxBytes: 4_194_304});
 * ```
 * @public
 */
export async function readHeldBody(
  message: IncomingMessage,
  response: ServerResponse,
  options: HeldBodyOptions,
): Promise<Buffer> {
  const declared = Number(message.headers['content-length'] ?? 0);
  const isChunked = message.headers['transfer-encoding'] !== undefined;
  try {
    if (declared > options.maxBytes) throw buildTooLarge(options);
    if (declared === 0 && !isChunked) {
      message.resume();
      return NO_BYTES;
    }
    const length = isChunked ? undefined : declared;
    const reader = new HeldBodyReader(message, options, length);
    closeWith(message, response, () => reader.close());
    return await reader.read();
  } catch (error) {
    response.shouldKeepAlive = false;
    throw error;
  }
}

/** Calls `close` once the response or its connection is closed; a response that waits has no event of its own. */
function closeWith(
  {socket}: IncomingMessage,
  response: ServerResponse,
  close: () => void,
): void {
  socket.once('close', close);
  response.once('close', () => {
    socket.off('close', close);
    close();
  });
}

/** Reads one body, and pauses its connection while there is no room for it. */
class HeldBodyReader {
  private buffer = new GrowingBuffer();
  private readonly body: HeldBody;
  /** Counts what has been read and pauses the connection while there is no room. */
  private readonly flow;
  private reject: (error: SycamoreheadError) => void = () => {};

  constructor(
    private readonly message: IncomingMessage,
    private readonly options: HeldBodyOptions,
    length: number | undefined,
  ) {
    this.flow = getBodyFlow(message);
    this.body = options.held.openBody(
      length ?? options.maxBytes,
      {
        onRoom: bytes => this.resume(bytes),
        onRefused: refusal => this.refuse(refusal),
      },
      length !== undefined,
    );
  }

  async read(): Promise<Buffer> {
    const {message, body, options} = this;
    const timer = setTimeout(() => this.expire(), BODY_TIMEOUT_MS);
    try {
      await new Promise<void>((resolve, reject) => {
        this.reject = reject;
        message.on('data', this.append);
        message.on('end', resolve);
        const fail = () =>
          reject(new SycamoreheadError('caller_gone', 'the body ended early'));
        message.on('error', fail);
        message.on('close', fail);
      });
    } catch (error) {
      this.close();
      // The bytes that still arrive are not kept.
      message.off('data', this.append);
      this.flow.pause('room');
      throw error;
    } finally {
      clearTimeout(timer);
    }
    options.held.finishBody(body);
    return this.buffer.bytes;
  }

  /** Releases the bytes; an idle connection may keep its last request, and this reader with it. */
  close(): void {
    this.options.held.closeBody(this.body);
    this.buffer = new GrowingBuffer();
  }

  private readonly append = (chunk: Buffer): void => {
    const {held, maxBytes} = this.options;
    const {body, buffer, flow} = this;
    flow.readBytes += chunk.length;
    if (buffer.length + chunk.length > maxBytes) {
      this.reject(buildTooLarge(this.options));
      return;
    }
    buffer.append(chunk);
    held.addBytes(body, chunk.length);
    if (body.state === 'waiting') this.flow.pause('room');
  };

  private resume(capacity: number): void {
    this.buffer.reserve(capacity);
    this.flow.resume('room');
  }

  private expire(): void {
    const isWaiting = this.body.state === 'waiting';
    const refusal = isWaiting ? 'no_room' : 'body_slow';
    this.options.held.refuseBody(this.body, refusal);
  }

  private refuse(refusal: ClientRefusal): void {
    const [kind, text] = REFUSALS[refusal] ?? NO_ROOM;
    this.reject(new SycamoreheadError(kind, text));
  }
}

function buildTooLarge({maxBytes, field}: HeldBodyOptions): SycamoreheadError {
  return new SycamoreheadError(
    'body_too_large',
    `body: expected at most ${maxBytes} bytes`,
    {field},
  );
}
