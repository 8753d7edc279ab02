import {Server, Socket, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import type {ServerListing} from '@sycamorehead/fleet';

/** One request as a fake server received it. */
export interface ReceivedRequest {
  readonly text: string;
  readonly head: string;
  readonly body: string;
  readonly headers: ReadonlyMap<string, string>;
}

/** Handles a request on a fake server; it may write the bytes of an answer. */
export type ServerScript = (request: ReceivedRequest, socket: Socket) => void;

/** Describes a server as a control instance lists it. */
export function describeServer(
  id: string,
  address: string,
  overrides: Partial<ServerListing['registration']> = {},
): ServerListing {
  return {
    isSilent: false,
    registration: {
      id,
      service: 'drafts',
      address,
      dataCentre: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      startedAtMs: 1,
      sequence: 1,
      ...overrides,
    },
  };
}

/** A backend server that answers with exactly the bytes that a test specifies. */
export class FakeServer {
  readonly received: ReceivedRequest[] = [];
  /** Connections that the other end has closed. */
  closed = 0;
  connections = 0;
  /** Whether connections that the other end has half closed are kept, and their work goes on. */
  keepsHalfOpen = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly id: string,
    private readonly script: ServerScript,
  ) {
    this.server = createServer({allowHalfOpen: true}, socket =>
      this.accept(socket),
    );
  }

  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', () => resolve()),
    );
    return this.address;
  }

  get address(): string {
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Stops listening; its connections stay open. */
  refuseConnections(): Promise<void> {
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  /** Describes this server as a control instance lists it. */
  describe(
    overrides: Partial<ServerListing['registration']> = {},
  ): ServerListing {
    return describeServer(this.id, this.address, overrides);
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    let data = '';
    socket.on('error', () => {});
    socket.on('end', () => {
      if (!this.keepsHalfOpen) socket.end();
    });
    socket.on('close', () => {
      this.closed += 1;
      this.sockets.delete(socket);
    });
    socket.on('data', chunk => {
      data += chunk.toString('latin1');
      for (;;) {
        const request = parseRequest(data);
        if (!request) return;
        data = data.slice(request.text.length);
        this.received.push(request);
        this.script(request, socket);
      }
    });
  }
}

function parseRequest(data: string): ReceivedRequest | undefined {
  const end = data.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const head = data.slice(0, end);
  const headers = new Map<string, string>();
  for (const line of head.split('\r\n').slice(1)) {
    const separator = line.indexOf(':');
    headers.set(
      line.slice(0, separator).toLowerCase(),
      line.slice(separator + 1).trim(),
    );
  }
  const length = Number(headers.get('content-length') ?? 0);
  const bodyStart = end + 4;
  if (data.length < bodyStart + length) return undefined;
  const text = data.slice(0, bodyStart + length);
  return {text, head, headers, body: text.slice(bodyStart)};
}

/** Formats a valid answer to a request, signed and with its id. */
export function formatAnswer(
  request: ReceivedRequest,
  body: string,
  extra: readonly string[] = [],
): string {
  return (
    formatHead(request, [`Content-Length: ${body.length}`, ...extra]) + body
  );
}

/** Formats the head of a chunked event stream. */
export function formatStreamHead(
  request: ReceivedRequest,
  extra: readonly string[] = [],
): string {
  return formatHead(request, [
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    ...extra,
  ]);
}

/** Formats the head of a valid answer, signed and with the id of its request. */
export function formatHead(
  {headers}: ReceivedRequest,
  fields: readonly string[],
  status = '200 OK',
): string {
  return [
    `HTTP/1.1 ${status}`,
    `X-Request-Id: ${headers.get('x-request-id')}`,
    'X-Signature: signed',
    ...fields,
    '',
    '',
  ].join('\r\n');
}

/** Formats one chunk of a body. */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats one event with its id. */
export function formatEvent(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** The end of a chunked body. */
export const LAST_CHUNK = '0\r\n\r\n';

/** Answers every request with a valid answer. */
export const answerWell: ServerScript = (request, socket) => {
  socket.write(formatAnswer(request, 'whole'));
};
