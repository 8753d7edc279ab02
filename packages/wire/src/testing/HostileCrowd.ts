import {Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/**
 * What each connection of a crowd sends before it stays open. With `unread_answers` it sends requests one
 * behind the other and reads nothing.
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
  | 'unread_answers';

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
};

/**
 * Clients that send more than a process can hold and stay open.
 *
 * @public
 */
export class HostileCrowd {
  private readonly sockets: Socket[] = [];
  private progress = 0;

  constructor(private readonly options: CrowdOptions) {}

  /** Connects all clients and returns once none of them can send any more. */
  async send(): Promise<void> {
    const {connections} = this.options;
    for (let index = 0; index < connections; index += 1) void this.sendOne();
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
    for (const socket of this.sockets) socket.destroy();
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
    if (input !== 'unread_answers') socket.resume();
    for (const piece of INPUTS[input](this.options)) {
      if (socket.destroyed) return;
      const written = new Promise<void>(resolve => {
        socket.write(piece, () => resolve());
      });
      await Promise.race([written, closed]);
      this.progress += 1;
    }
  }
}
