import {randomUUID} from 'node:crypto';
import {Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeFrame} from '../lib/FrameDecoder.js';

/**
 * What each connection of a crowd sends before it stays open. With `unread_answers` and `unread_frames` it
 * sends requests one behind the other and reads nothing; with `long_sessions` each request waits for the
 * answer to the one before. With `endless_chunks` and `endless_chunk_size` it sends without end, and connects
 * again once it is closed.
 *
 * @public
 */
export type HostileInput =
  | 'endless_head'
  | 'endless_lines'
  | 'whole_body'
  | 'stalled_body'
  | 'large_chunks'
  | 'tiny_chunks'
  | 'stalled_frame'
  | 'unread_answers'
  | 'short_fields'
  | 'short_trailers'
  | 'many_fields'
  | 'long_sessions'
  | 'endless_chunks'
  | 'endless_chunk_size'
  | 'unread_frames';

/** Settings of a HostileCrowd. @public */
export interface CrowdOptions {
  readonly host: string;
  readonly port: number;
  readonly input: HostileInput;
  readonly connections: number;
  /** Bytes that each connection sends, without the bytes of heads and of framing. */
  readonly bytes: number;
  /** Request line and headers, without those that frame the body, each with its line end. */
  readonly head: string;
}

const PIECE_BYTES = 64 * 1024;
const PIECE = Buffer.alloc(PIECE_BYTES, 'a');
const EMPTY_LINES = Buffer.from('\r\n'.repeat(PIECE_BYTES / 2));
const HEADER_LINE = Buffer.from(`X-Fill: ${'a'.repeat(1_000)}\r\n`);
const LARGE_CHUNK = buildChunk(PIECE);
const TINY_CHUNKS = Buffer.from('1\r\na\r\n'.repeat(8_192));
const SHORT_FIELD = 'ab:cd\r\n';
const NAME_RADIX = 36;
const CHUNK_SIZE_ZEROS = Buffer.alloc(PIECE_BYTES, '0');
const UNKNOWN_CALL = encodeFrame({jsonrpc: '2.0', id: 1, method: 'unknown'});
const UNKNOWN_CALLS = Buffer.concat(new Array<Buffer>(64).fill(UNKNOWN_CALL));
/** Bytes of the name of a session that fit into a head within the limits. */
const SESSION_BYTES = 15_000;
/** Inputs whose answers the crowd does not read. */
const UNREAD_INPUTS: readonly HostileInput[] = [
  'unread_answers',
  'unread_frames',
];
/** Inputs that only end with their connection. */
const ENDLESS_INPUTS: readonly HostileInput[] = [
  'endless_chunks',
  'endless_chunk_size',
];
/** Part of a body that a stalled connection never sends, in bytes. */
const MISSING_BYTES = 1_024;
const POLL_MS = 100;
/** Time without progress of any connection after which a crowd has sent what it can, in milliseconds. */
const QUIET_MS = 1_500;

function buildChunk(bytes: Buffer): Buffer {
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from('\r\n'),
  ]);
}

/** Repeats the shortest field that a head or trailers may have. */
function buildShortFields(bytes: number): Buffer {
  return Buffer.from(
    SHORT_FIELD.repeat(Math.floor(bytes / SHORT_FIELD.length)),
  );
}

/**
 * Builds short fields with names of their own.
 *
 * @example
 * ```ts
 * buildNamedFields(10); // '0:a\\r\\n1:a\\r\\n'
 * ```
 * @public
 */
export function buildNamedFields(bytes: number): string {
  let fields = '';
  for (let index = 0; ; index += 1) {
    const field = `${index.toString(NAME_RADIX)}:a\r\n`;
    if (fields.length + field.length > bytes) return fields;
    fields += field;
  }
}

function* listEndless({head}: CrowdOptions, piece: Buffer) {
  yield Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`);
  for (;;) yield piece;
}

function* listPieces(piece: Buffer, bytes: number, size = piece.length) {
  for (let sent = 0; sent + size <= bytes; sent += size) yield piece;
}

function* listBody({head, bytes}: CrowdOptions, sent: number) {
  yield Buffer.from(`${head}Content-Length: ${bytes}\r\n\r\n`);
  yield* listPieces(PIECE, sent);
  yield PIECE.subarray(0, sent % PIECE_BYTES);
}

function* listChunks(
  {head, bytes}: CrowdOptions,
  chunks: Buffer,
  size: number,
) {
  yield Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`);
  yield* listPieces(chunks, bytes - MISSING_BYTES, size);
}

/** Lists the pieces that one connection sends. */
const INPUTS: Readonly<
  Record<HostileInput, (options: CrowdOptions) => Iterable<Buffer>>
> = {
  *endless_head({head, bytes}) {
    yield Buffer.from(head);
    yield* listPieces(HEADER_LINE, bytes);
  },
  endless_lines: ({bytes}) => listPieces(EMPTY_LINES, bytes),
  whole_body: options => listBody(options, options.bytes),
  stalled_body: options => listBody(options, options.bytes - MISSING_BYTES),
  large_chunks: options => listChunks(options, LARGE_CHUNK, PIECE_BYTES),
  tiny_chunks: options => listChunks(options, TINY_CHUNKS, 8_192),
  *stalled_frame({bytes}) {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes, 0);
    yield length;
    yield* listPieces(PIECE, bytes - MISSING_BYTES);
  },
  unread_answers: ({head, bytes}) =>
    listPieces(Buffer.from(`${head}Content-Length: 0\r\n\r\n`), bytes),
  *short_fields({head, bytes}) {
    yield Buffer.from(head);
    yield buildShortFields(bytes);
  },
  *short_trailers({head, bytes}) {
    yield Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    yield Buffer.from('1\r\na\r\n0\r\n');
    yield buildShortFields(bytes);
  },
  *many_fields({head, bytes}) {
    yield Buffer.from(
      `${head}Content-Length: ${MISSING_BYTES}\r\n${buildNamedFields(bytes)}\r\n`,
    );
  },
  *long_sessions({head, bytes}) {
    for (let sent = 0; sent < bytes; sent += SESSION_BYTES) {
      const name = randomUUID().padEnd(SESSION_BYTES, 'x');
      yield Buffer.from(`${head}Session: ${name}\r\nContent-Length: 0\r\n\r\n`);
    }
  },
  endless_chunks: options => listEndless(options, TINY_CHUNKS),
  endless_chunk_size: options => listEndless(options, CHUNK_SIZE_ZEROS),
  unread_frames: ({bytes}) => listPieces(UNKNOWN_CALLS, bytes),
};

/**
 * Clients that send more than a process can hold and stay open.
 *
 * @public
 */
export class HostileCrowd {
  private readonly sockets: Socket[] = [];
  private progress = 0;
  private isClosed = false;

  constructor(private readonly options: CrowdOptions) {}

  /**
   * Connects all clients and returns once none of them can send any more; those that send without end go
   * on.
   */
  async send(): Promise<void> {
    const {connections, input} = this.options;
    const isEndless = ENDLESS_INPUTS.includes(input);
    for (let index = 0; index < connections; index += 1) {
      void (isEndless ? this.sendAgain() : this.sendOne());
    }
    if (isEndless) {
      await sleep(QUIET_MS);
      return;
    }
    let seen = -1;
    let quietMs = 0;
    while (quietMs < QUIET_MS) {
      await sleep(POLL_MS);
      quietMs = this.progress === seen ? quietMs + POLL_MS : 0;
      seen = this.progress;
    }
  }

  /** Closes the connections that are still open. */
  close(): void {
    this.isClosed = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private async sendAgain(): Promise<void> {
    while (!this.isClosed) {
      await this.sendOne();
      await sleep(POLL_MS);
    }
  }

  private async sendOne(): Promise<void> {
    const {host, port, input} = this.options;
    const socket = connect({host, port});
    this.sockets.push(socket);
    const closed = new Promise<void>(resolve => {
      socket.on('error', () => {});
      socket.on('close', () => {
        this.progress += 1;
        resolve();
      });
    });
    if (!UNREAD_INPUTS.includes(input)) socket.resume();
    for (const piece of INPUTS[input](this.options)) {
      if (socket.destroyed) return;
      const written = new Promise<void>(resolve => {
        socket.write(piece, () => resolve());
      });
      const answered = new Promise<void>(resolve => {
        if (input === 'long_sessions') socket.once('data', () => resolve());
        else resolve();
      });
      await Promise.race([written, closed]);
      await Promise.race([answered, closed]);
      this.progress += 1;
    }
  }
}
