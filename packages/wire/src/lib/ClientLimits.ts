import {readFileSync} from 'node:fs';
import type {Server} from 'node:http';
import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import {writeDecision} from '@sycamorehead/telemetry';
import {ConnectionGuard} from './ConnectionGuard.js';
import type {HeadLimit} from './ConnectionGuard.js';
import {ClientRefusal, HeldBytes} from './HeldBytes.js';
import {HeldHeads} from './HeldHeads.js';
import type {HeadBudget} from './HeldHeads.js';
import {InputTurns} from './InputTurns.js';
import {UnreadAnswers} from './UnreadAnswers.js';

const BYTES_PER_MB = 1024 * 1024;
/** Memory kept for the process's own growth under load, in megabytes. */
const HEADROOM_MB = 40;
/** The process's own memory where the operating system does not say, in megabytes. */
const OWN_MB = 80;
/** Part of the memory beyond the process's own that clients' bytes may take; the rest is for garbage. */
const HELD_SHARE = 0.25;
/** Bounds of the bytes that are held for clients, in megabytes. */
const MIN_BUDGET_MB = 16;
const MAX_BUDGET_MB = 1_024;
/** Part of the bytes held for clients that answers may take. */
const ANSWER_SHARE = 0.25;
/**
 * Part of the heap beyond the process's own that heads which are not complete may take, and as much again for
 * those of open requests; the rest is for garbage.
 */
const HEAD_SHARE = 0.125;
/** The least heap for each of both, in megabytes. */
const MIN_HEAD_MB = 4;
/** Memory that one open request may take with the answer that is buffered for it, in bytes. */
const REQUEST_BYTES = 256 * 1024;
/** Descriptors kept for files. */
const FILE_FDS = 200;
/** Part of the other descriptors that clients' connections may take; the rest is for the process's own. */
const CONNECTION_SHARE = 0.6;
/** Connections to a port for checks and metrics. */
const STATUS_CONNECTIONS = 32;
/** Interval between two log lines on refused clients, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Limits of the machine that a process runs on. @public */
export interface MachineLimits {
  /** Memory in megabytes; absent or 0 for all that the operating system offers. */
  readonly memoryMb?: number;
  /** Descriptors; absent or 0 for as many as the process may open. */
  readonly maxFds?: number;
}

/** What a process holds for its clients, for its metrics. @public */
export interface ClientUsage {
  readonly bodyBytes: number;
  readonly waitingBodies: number;
  readonly answerBytes: number;
  /** Heap that clients' heads take, in bytes. */
  readonly headBytes: number;
  readonly connections: number;
  readonly refusals: ReadonlyMap<string, number>;
}

/**
 * What clients may cost one process: one account for all of its ports.
 *
 * @public
 */
export class ClientLimits {
  readonly bodies: HeldBytes;
  readonly answers: UnreadAnswers;
  readonly heads: HeldHeads;
  private readonly turns = new InputTurns();
  private readonly maxConnections: number;
  private readonly maxRequests: number;
  private readonly guards: ConnectionGuard[] = [];
  private readonly refusals = new Map<ClientRefusal, number>();
  /** Refusals since the last log line. */
  private readonly unlogged = new Map<ClientRefusal, number>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @example
   * ```ts
   * const limits = new ClientLimits({memoryMb: 250, maxFds: 4_100});
   * ```
   */
  constructor({memoryMb, maxFds}: MachineLimits = {}) {
    const budget = computeBudgetBytes(memoryMb || readMemoryMb());
    const record = (refusal: ClientRefusal) => this.recordRefusal(refusal);
    this.bodies = new HeldBytes(budget * (1 - ANSWER_SHARE), record);
    this.answers = new UnreadAnswers(budget * ANSWER_SHARE, record);
    this.heads = new HeldHeads(computeHeadBudget(), record);
    this.maxRequests = Math.floor(budget / REQUEST_BYTES);
    const fds = maxFds || readDescriptorLimit();
    this.maxConnections = Math.max(
      STATUS_CONNECTIONS,
      Math.floor((fds - FILE_FDS) * CONNECTION_SHARE),
    );
  }

  // Commands.

  /** Bounds the connections of a server for clients, and their heads as it says. */
  limitServer(server: Server, headLimit?: HeadLimit): void {
    this.addGuard(server, this.maxConnections, headLimit);
  }

  /** Bounds the connections of a server for checks and metrics. */
  limitStatusServer(server: Server): void {
    this.addGuard(server, STATUS_CONNECTIONS);
  }

  /** Counts a refusal; at most one log line a second names them. */
  recordRefusal(refusal: ClientRefusal): void {
    for (const counts of [this.refusals, this.unlogged]) {
      counts.set(refusal, (counts.get(refusal) ?? 0) + 1);
    }
    this.timer ??= setTimeout(() => this.logRefusals(), LOG_INTERVAL_MS);
    this.timer.unref();
  }

  // Queries.

  /** Returns what is held now, and all refusals so far. */
  readUsage(): ClientUsage {
    return {
      bodyBytes: this.bodies.totalBytes,
      waitingBodies: this.bodies.waitingCount,
      answerBytes: this.answers.totalBytes,
      headBytes: this.heads.totalBytes,
      connections: this.guards.reduce((sum, {count}) => sum + count, 0),
      refusals: this.refusals,
    };
  }

  private addGuard(
    server: Server,
    maxConnections: number,
    headLimit?: HeadLimit,
  ): void {
    const record = (refusal: ClientRefusal) => this.recordRefusal(refusal);
    const {maxRequests, heads, turns} = this;
    const limits = {maxConnections, maxRequests, heads, turns, headLimit};
    this.guards.push(new ConnectionGuard(server, limits, record));
  }

  private logRefusals(): void {
    this.timer = undefined;
    const {bodyBytes, waitingBodies, answerBytes, headBytes, connections} =
      this.readUsage();
    writeDecision('clients_refused', {
      ...Object.fromEntries(this.unlogged),
      body_bytes: bodyBytes,
      waiting: waitingBodies,
      answer_bytes: answerBytes,
      head_bytes: headBytes,
      connections,
    });
    this.unlogged.clear();
  }
}

function computeBudgetBytes(memoryMb: number): number {
  const freeMb = memoryMb - readOwnMb() - HEADROOM_MB;
  const budgetMb = freeMb * HELD_SHARE;
  return (
    Math.min(MAX_BUDGET_MB, Math.max(MIN_BUDGET_MB, budgetMb)) * BYTES_PER_MB
  );
}

/** Computes the heap for clients' heads: the heap may end long before the machine's memory does. */
function computeHeadBudget(): HeadBudget {
  const {heap_size_limit: limit, used_heap_size: used} = getHeapStatistics();
  const bytes = Math.max(
    MIN_HEAD_MB * BYTES_PER_MB,
    (limit - used) * HEAD_SHARE,
  );
  return {maxUnfinishedBytes: bytes, maxOpenBytes: bytes};
}

function readOwnMb(): number {
  try {
    return process.memoryUsage.rss() / BYTES_PER_MB;
  } catch (error) {
    writeDecision('own_memory_unknown', {error: String(error)});
    return OWN_MB;
  }
}

/** Reads the memory of the machine, or of the group of processes if that is limited. */
function readMemoryMb(): number {
  const limit = process.constrainedMemory() || Infinity;
  return Math.min(totalmem(), limit) / BYTES_PER_MB;
}

/** Reads how many descriptors the process may open; unlimited where the operating system does not say. */
function readDescriptorLimit(): number {
  try {
    const text = readFileSync('/proc/self/limits', 'utf8');
    const [, soft = ''] = /^Max open files\s+(\d+)/m.exec(text) ?? [];
    return Number(soft) || Infinity;
  } catch {
    return Infinity;
  }
}
