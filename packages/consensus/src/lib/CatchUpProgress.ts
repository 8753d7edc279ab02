/**
 * Follows how far a peer is behind the leader's log, in time.
 *
 * @internal
 */
export class CatchUpProgress {
  /** Newest time of which the peer is known to have the whole log. */
  private reachedAt = -Infinity;
  private target = 0;
  private targetAt = -Infinity;

  /** Records the last index that the peer has synced and the last one of the log. */
  record(matchIndex: number, lastIndex: number): void {
    if (matchIndex < this.target) return;
    this.reachedAt = this.targetAt;
    this.target = lastIndex;
    this.targetAt = performance.now();
  }

  /** Returns the age of the newest state of the log that the peer is known to have, in milliseconds. */
  getLagMs(): number {
    return performance.now() - this.reachedAt;
  }
}
