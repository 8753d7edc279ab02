import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerListing} from '@sycamorehead/fleet';
import {
  FakeServer,
  LAST_CHUNK,
  ReceivedRequest,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import type {Socket} from 'node:net';

/** Time from the arrival of a request to the head of its answer, in milliseconds. */
const HEAD_MS = 15;
/** Time from the head of an answer to a crash, in milliseconds. */
const CRASH_MS = 25;
/** Time between two events, in milliseconds. */
const EVENT_MS = 20;
const EVENTS = 3;
/** Time from a crash to the next start, in milliseconds. */
const DOWN_MS = 600;

/** What a crashing server tells its fleet. */
export interface CrashListener {
  onStart(listing: ServerListing): void;
  onReceived(server: string, request: ReceivedRequest): void;
  onCrash(server: string): void;
}

/**
 * An engine that crashes whenever it begins to answer a prompt with a certain segment, and starts
 * again after a while under another id and address.
 */
export class CrashingServer {
  private server: FakeServer | undefined;
  private starts = 0;
  private isStopped = false;

  constructor(
    private readonly name: string,
    /** The segment whose prompts crash the server. */
    private readonly segment: string,
    private readonly listener: CrashListener,
  ) {}

  /** Starts the server under a new id. */
  async start(): Promise<void> {
    this.starts += 1;
    const id = `${this.name}-${this.starts}`;
    const server = new FakeServer(id, (request, socket) => {
      void this.answer(server, request, socket);
    });
    await server.start();
    this.server = server;
    this.listener.onStart(
      server.describe({startedAtMs: this.starts, slots: 64}),
    );
  }

  /** Crashes the server, whatever it works on, and starts it again after a while. */
  async restart(): Promise<void> {
    const {server} = this;
    if (!server) return;
    this.server = undefined;
    this.listener.onCrash(server.id);
    await server.stop();
    await sleep(DOWN_MS);
    if (!this.isStopped) await this.start();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.server?.stop();
  }

  private async answer(
    server: FakeServer,
    request: ReceivedRequest,
    socket: Socket,
  ): Promise<void> {
    this.listener.onReceived(server.id, request);
    await sleep(HEAD_MS);
    socket.write(formatStreamHead(request));
    if (request.headers.get('x-prefix')?.includes(`${this.segment}:`)) {
      await sleep(CRASH_MS);
      if (this.server === server) await this.restart();
      return;
    }
    for (let id = 1; id <= EVENTS; id += 1) {
      await sleep(EVENT_MS);
      socket.write(formatChunk(formatEvent(id)));
    }
    socket.write(LAST_CHUNK);
  }
}
