import type {IncomingMessage, ServerResponse} from 'node:http';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {ClientRefusal} from './HeldBytes.js';

/** Heap of a string beyond its characters and of the slot that holds it, in bytes. */
const STRING_BYTES = 40;
/** Part of the free room that the head of a request may take, so that ordinary ones still find room. */
const ADMITTED_SHARE = 0.125;

/** The unfinished fields of one connection. @public */
export interface UnfinishedHead {
  /** Drops the fields and closes the connection. */
  close(): void;
}

/** Heap that clients' heads may take, in bytes. @public */
export interface HeadBudget {
  /** Those that are not complete. */
  readonly maxUnfinishedBytes: number;
  /** Those of open requests. */
  readonly maxOpenBytes: number;
}

/**
 * Estimates the heap that a list of strings takes, in bytes.
 *
 * @example
 * ```ts
 * estimateStringBytes(message.rawHeaders);
 * ```
 * @internal
 */
export function estimateStringBytes(strings: readonly string[]): number {
  return strings.reduce((sum, text) => sum + text.length + STRING_BYTES, 0);
}

/**
 * The account of what clients' heads take of the heap of a process. It answers many clients whose heads or
 * trailers have very many fields, each of which costs many times its bytes:
 *
 * - Of heads that are not complete, the connection whose fields take the most is closed above the limit.
 * - A request is refused if its head would take more than a part of the room that is left, which large heads
 *   exhaust before small ones.
 *
 * @public
 */
export class HeldHeads {
  private readonly unfinished = new Map<UnfinishedHead, number>();
  private readonly open = new Map<ServerResponse, number>();
  private readonly refused = new WeakSet<IncomingMessage>();
  private unfinishedBytes = 0;
  private openBytes = 0;

  constructor(
    private readonly budget: HeadBudget,
    private readonly onRefusal: (refusal: ClientRefusal) => void,
  ) {}

  // Commands.

  /** Sets the heap that the unfinished fields of a connection take, in bytes. */
  setUnfinished(head: UnfinishedHead, bytes: number): void {
    const known = this.unfinished.get(head) ?? 0;
    if (bytes === known) return;
    this.unfinishedBytes += bytes - known;
    if (bytes === 0) this.unfinished.delete(head);
    else this.unfinished.set(head, bytes);
    while (this.unfinishedBytes > this.budget.maxUnfinishedBytes) {
      const costliest = this.findCostliest();
      if (!costliest) return;
      this.onRefusal('heads_unfinished');
      this.setUnfinished(costliest, 0);
      costliest.close();
    }
  }

  /**
   * Counts the head of a request until `release`.
   *
   * @returns false if there is no room for it; `check` then refuses the request.
   */
  add(response: ServerResponse): boolean {
    const {req} = response;
    const bytes = estimateStringBytes(req.rawHeaders) + (req.url ?? '').length;
    const freeBytes = this.budget.maxOpenBytes - this.openBytes;
    if (bytes > freeBytes * ADMITTED_SHARE) {
      this.onRefusal('no_room_for_head');
      this.refused.add(req);
      return false;
    }
    this.open.set(response, bytes);
    this.openBytes += bytes;
    return true;
  }

  /** Releases the head of a request whose response or connection is closed. */
  release(response: ServerResponse): void {
    this.openBytes -= this.open.get(response) ?? 0;
    this.open.delete(response);
  }

  // Queries.

  /**
   * Checks that there was room for the head of a request.
   *
   * @throws SycamoreheadError `overloaded`.
   */
  check(message: IncomingMessage): void {
    if (!this.refused.has(message)) return;
    throw new SycamoreheadError('overloaded', 'no room for the head', {
      ran: 'no',
    });
  }

  /** Heap that all heads take, in bytes. */
  get totalBytes(): number {
    return this.unfinishedBytes + this.openBytes;
  }

  private findCostliest(): UnfinishedHead | undefined {
    let costliest: UnfinishedHead | undefined;
    let most = 0;
    for (const [head, bytes] of this.unfinished) {
      if (bytes <= most) continue;
      most = bytes;
      costliest = head;
    }
    return costliest;
  }
}
