import {evictOldest} from '@sycamorehead/schema';
import {hashText} from './choosePreferredServers.js';

/** Chance of so many refusals in a row from which a session is owed the next place. */
const MAX_CHANCE = 0.05;
/** Chance that one refusal counts as at least. */
const MIN_REFUSAL_CHANCE = 0.1;
/** Maximum number of sessions that are tracked: those refused last. */
const MAX_SESSIONS = 5_000;

interface RefusedSession {
  /** The chance that as many requests in a row are refused. */
  chance: number;
  /** The time until which its caller was told to stay away, on the monotonic clock. */
  heldUntil: number;
  /** The time until which one of its requests has the turn that it is owed, on the monotonic clock. */
  claimedUntil: number;
}

/** A refusal of a request of a session. @public */
export interface SessionRefusal {
  /** Served fraction of requests like it; undefined if too little is known. */
  readonly servedFraction: number | undefined;
  /** Whether the request had the turn that its session is owed. */
  readonly isOwed: boolean;
  readonly retryAfterMs: number;
}

/**
 * Tracks the sessions whose requests were refused one after the other, under a load where chance does not
 * decide whose: bursts that always come just before, or an entry with little room. One request of such a
 * session goes first. What is refused before the caller was to return does not count, so that nobody gains
 * by repeating at once.
 *
 * @public
 */
export class SessionShares {
  /** By hash of the session, since callers choose its length. */
  private readonly refused = new Map<number, RefusedSession>();

  // Commands.

  /** Records a refusal of a request of a session. */
  recordRefused(session: string, refusal: SessionRefusal): void {
    const {servedFraction, isOwed, retryAfterMs} = refusal;
    const now = performance.now();
    const key = hashText(session);
    const known = this.refused.get(key);
    const claimedUntil = isOwed
      ? -Infinity
      : (known?.claimedUntil ?? -Infinity);
    const {chance, heldUntil} = known ?? {chance: 1, heldUntil: -Infinity};
    const isCounted = now >= heldUntil && servedFraction !== undefined;
    const factor = Math.max(MIN_REFUSAL_CHANCE, 1 - (servedFraction ?? 0));
    this.refused.delete(key);
    this.refused.set(key, {
      chance: isCounted ? chance * factor : chance,
      heldUntil: isCounted ? now + retryAfterMs : heldUntil,
      claimedUntil,
    });
    evictOldest(this.refused, MAX_SESSIONS);
  }

  /** Records that a request of a session got a place. */
  recordServed(session: string): void {
    this.refused.delete(hashText(session));
  }

  /**
   * Takes the turn that a session is owed, for one of its requests.
   *
   * @returns false if none is owed, or another request has it.
   * @example
   * ```ts
   * shares.takeTurn('s-17', performance.now() + 4_000);
   * ```
   */
  takeTurn(session: string, until: number): boolean {
    const known = this.refused.get(hashText(session));
    if (!known || known.chance > MAX_CHANCE) return false;
    if (performance.now() < known.claimedUntil) return false;
    known.claimedUntil = until;
    return true;
  }

  /** Releases the turn of a session whose request ended without a place or a refusal. */
  releaseTurn(session: string): void {
    const known = this.refused.get(hashText(session));
    if (known) known.claimedUntil = -Infinity;
  }
}
