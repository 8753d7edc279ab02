import {MAX_INTERVAL_MS} from './computeDigestInterval.js';
import type {
  ExchangeRequest,
  LoadDigest,
  PromptNewsTable,
} from './fleetMessages.js';

/** Time for which news are passed on, in milliseconds. */
const NEWS_EXPIRY_MS = 1_000;
/** Maximum number of segments that are held; the oldest are dropped. */
const MAX_NEWS = 2_000;
/** Maximum number of segments in one message. */
const MAX_LISTED = 256;

interface PromptNewsItem {
  readonly number: number;
  readonly server: string;
  readonly hash: number;
  readonly receivedAt: number;
  /** The entry that sent it here; undefined if it came in a digest. */
  readonly entry: string | undefined;
}

/**
 * Passes on which shared prompt segments servers have just read. Each entry gets what is new since its
 * last report; what does not fit is dropped, so that the cost of an entry is bounded.
 *
 * @public
 */
export class PromptNewsPool {
  /** The oldest first. */
  private items: PromptNewsItem[] = [];
  private lastNumber = 0;
  /** Number of the last item that each entry has got. */
  private readonly delivered = new Map<string, {number: number; at: number}>();

  // Commands.

  /** Adds an entry's news and returns those of the others. */
  exchange({entry, prompts = {}}: ExchangeRequest): PromptNewsTable {
    const now = performance.now();
    this.add(prompts, entry);
    const after = this.delivered.get(entry)?.number ?? 0;
    this.delivered.delete(entry);
    this.delivered.set(entry, {number: this.lastNumber, at: now});
    this.expire(now);
    return buildTable(
      this.listNewest(
        item => item.number > after,
        item => item.entry !== entry,
      ),
    );
  }

  /** Adds the news of another control instance. */
  acceptDigest({prompts = {}}: Pick<LoadDigest, 'prompts'>): void {
    this.add(prompts, undefined);
  }

  // Queries.

  /** Describes the news that entries have sent here since about the last digest. */
  describeDigest(): {prompts: PromptNewsTable} {
    const oldest = performance.now() - MAX_INTERVAL_MS;
    const items = this.listNewest(
      ({receivedAt}) => receivedAt >= oldest,
      ({entry}) => entry !== undefined,
    );
    return {prompts: buildTable(items)};
  }

  /** Lists the newest items that are wanted, the oldest of them first; only new ones are looked at. */
  private listNewest(
    isNew: (item: PromptNewsItem) => boolean,
    isWanted: (item: PromptNewsItem) => boolean,
  ): PromptNewsItem[] {
    const newest: PromptNewsItem[] = [];
    for (let index = this.items.length - 1; index >= 0; index -= 1) {
      const item = this.items[index];
      if (!item || !isNew(item) || newest.length === MAX_LISTED) break;
      if (isWanted(item)) newest.push(item);
    }
    return newest.reverse();
  }

  private add(table: PromptNewsTable, entry: string | undefined): void {
    const receivedAt = performance.now();
    for (const [server, hashes] of Object.entries(table)) {
      for (const hash of hashes.slice(0, MAX_LISTED)) {
        if (!Number.isSafeInteger(hash)) continue;
        this.lastNumber += 1;
        const number = this.lastNumber;
        this.items.push({number, server, hash, receivedAt, entry});
      }
    }
    if (this.items.length > MAX_NEWS) this.items = this.items.slice(-MAX_NEWS);
  }

  private expire(now: number): void {
    const oldest = now - NEWS_EXPIRY_MS;
    let expired = 0;
    while ((this.items[expired]?.receivedAt ?? Infinity) < oldest) expired += 1;
    if (expired > 0) this.items.splice(0, expired);
    for (const [entry, {at}] of this.delivered) {
      if (at >= oldest) break;
      this.delivered.delete(entry);
    }
  }
}

/** Builds the table of the newest items, each segment of a server once. */
function buildTable(items: readonly PromptNewsItem[]): PromptNewsTable {
  const table: Record<string, number[]> = {};
  for (const {server, hash} of items) {
    const hashes = (table[server] ??= []);
    if (!hashes.includes(hash)) hashes.push(hash);
  }
  return table;
}
