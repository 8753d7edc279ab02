import type {Socket} from 'node:net';
import type {ClientRefusal} from './HeldBytes.js';

/** Heap of a string beyond its characters and of the slot that holds it, in bytes. */
const STRING_BYTES = 40;

/** Heap that clients' heads may take, in bytes. @public */
export interface HeadBudget {
  /** Those that are not complete. */
  readonly maxUnfinishedBytes: number;
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
 * The account of what clients' heads take of the heap of a process. It answers many clients whose heads have
 * very many fields, each of which costs many times its bytes: of heads that are not complete, the connection
 * whose fields take the most is closed above the limit.
 *
 * @public
 */
export class HeldHeads {
  private readonly unfinished = new Map<Socket, number>();
  private unfinishedBytes = 0;

  constructor(
    private readonly budget: HeadBudget,
    private readonly onRefusal: (refusal: ClientRefusal) => void,
  ) {}

  // Commands.

  /** Sets the heap that the unfinished fields of a connection take, in bytes. */
  setUnfinished(socket: Socket, bytes: number): void {
    const known = this.unfinished.get(socket) ?? 0;
    if (bytes === known) return;
    this.unfinishedBytes += bytes - known;
    if (bytes === 0) this.unfinished.delete(socket);
    else this.unfinished.set(socket, bytes);
    while (this.unfinishedBytes > this.budget.maxUnfinishedBytes) {
      const costliest = this.findCostliest();
      if (!costliest) return;
      this.onRefusal('heads_unfinished');
      this.setUnfinished(costliest, 0);
      costliest.destroy();
    }
  }

  // Queries.

  /** Heap that all heads take, in bytes. */
  get totalBytes(): number {
    return this.unfinishedBytes;
  }

  private findCostliest(): Socket | undefined {
    let costliest: Socket | undefined;
    let most = 0;
    for (const [socket, bytes] of this.unfinished) {
      if (bytes <= most) continue;
      most = bytes;
      costliest = socket;
    }
    return costliest;
  }
}
