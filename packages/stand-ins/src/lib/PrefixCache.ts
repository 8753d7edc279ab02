import {evictOldest} from '@sycamorehead/schema';

/** A bounded LRU cache of prompt prefixes. @public */
export class PrefixCache {
  private readonly prefixes = new Map<string, number>();

  constructor(private readonly maxPrefixes: number) {}

  /** Returns the tokens in the longest cached prefix of a prompt and caches all its prefixes. */
  matchAndInsert(messages: ReadonlyArray<{readonly content: string}>): number {
    let key = '';
    let tokens = 0;
    let cached = 0;
    for (const {content} of messages) {
      key += `${content}\n`;
      tokens += Math.ceil(content.length / 4);
      if (this.prefixes.delete(key)) cached = tokens;
      this.prefixes.set(key, tokens);
    }
    evictOldest(this.prefixes, this.maxPrefixes);
    return cached;
  }
}
