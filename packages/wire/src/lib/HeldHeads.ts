import type {ClientRefusal} from './HeldBytes.js';

/** Heap of a string beyond its characters and of the slot that holds it, in bytes. */
const STRING_BYTES = 40;

/** The unfinished fields of one connection. @public */
export interface UnfinishedHead {
  /** Drops the fields and closes the connection. */
  close(): void;
}

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
  private readonly unfinished = new Map<UnfinishedHead, number>();
  private unfinishedBytes = 0;

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

  // Queries.

  /** Heap that all heads take, in bytes. */
  get totalBytes(): number {
    return this.unfinishedBytes;
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
