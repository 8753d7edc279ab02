import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerListing} from '@sycamorehead/fleet';
import {
  FakeServer,
  LAST_CHUNK,
  ReceivedRequest,
  formatAnswer,
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
/** Shortest time from the arrival of a request at a plain service to the crash of its server, in milliseconds. */
const MIN_RUN_MS = 20;
/** Longest such time, in milliseconds. */
const MAX_RUN_MS = 90;

/** Which requests crash a server, and how. */
export interface CrashBehaviour {
  /** Returns what in a request crashes its server; undefined for a sound request. */
  findCause(request: ReceivedRequest): string | undefined;
  /** Whether the server answers with a stream, and crashes after the head; others crash before it. */
  readonly isStreaming: boolean;
  /** Time from a crash to the next start, in milliseconds. */
  readonly downMs: number;
  readonly slots: number;
}

/** What a crashing server tells its fleet. */
export interface CrashListener {
  onStart(listing: ServerListing): void;
  onReceived(request: ReceivedRequest): void;
  /** `cause` is undefined if no request crashed the server. */
  onCrash(cause: string | undefined): void;
}

/**
 * A server that crashes whenever it runs certain requests, and starts again after a while under another
 * id and address.
 */
export class CrashingServer {
  private server: FakeServer | undefined;
  private starts = 0;
  private isStopped = false;

  constructor(
    private readonly name: string,
    private readonly behaviour: CrashBehaviour,
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
      server.describe({
        startedAtMs: this.starts,
        slots: this.behaviour.slots,
      }),
    );
  }

  /** Crashes the server, whatever it works on, and starts it again after a while. */
  async restart(cause?: string): Promise<void> {
    const {server} = this;
    if (!server) return;
    this.server = undefined;
    this.listener.onCrash(cause);
    await server.stop();
    await sleep(this.behaviour.downMs);
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
    this.listener.onReceived(request);
    const {isStreaming} = this.behaviour;
    const cause = this.behaviour.findCause(request);
    if (!isStreaming) {
      await sleep(MIN_RUN_MS + Math.random() * (MAX_RUN_MS - MIN_RUN_MS));
    } else {
      await sleep(HEAD_MS);
      socket.write(formatStreamHead(request));
      await sleep(CRASH_MS);
    }
    if (cause !== undefined) {
      if (this.server === server) await this.restart(cause);
      return;
    }
    if (isStreaming) await this.stream(socket);
    else socket.write(formatAnswer(request, 'whole'));
  }

  private async stream(socket: Socket): Promise<void> {
    for (let id = 1; id <= EVENTS; id += 1) {
      await sleep(EVENT_MS);
      socket.write(formatChunk(formatEvent(id)));
    }
    socket.write(LAST_CHUNK);
  }
}
