import type {VersionRef} from '@sycamorehead/schema';

const MAX_HINTS = 20_000;
/**
 * Time for which a hint is used without asking control, in milliseconds. Far below the idle limit
 * of the replicated pins, so that a session in use through hints never expires there.
 */
const HINT_AGE_MS = 60_000;

interface SessionHint {
  readonly version: VersionRef;
  /** Revision under which control confirmed the pin. */
  readonly revision: number;
  readonly at: number;
}

/**
 * This entry's memory of session pins, in order of use, the longest unused dropped first. A hint
 * counts only under the revision that it was confirmed under.
 *
 * @internal
 */
export class SessionPinCache {
  private readonly hints = new Map<string, SessionHint>();

  /** Remembers a confirmed pin. */
  set(key: string, version: VersionRef, revision: number): void {
    this.hints.delete(key);
    this.hints.set(key, {version, revision, at: performance.now()});
    if (this.hints.size <= MAX_HINTS) return;
    for (const oldest of this.hints.keys()) {
      this.hints.delete(oldest);
      return;
    }
  }

  /** Returns a session's version where its hint still counts. */
  get(key: string, revision: number): VersionRef | undefined {
    const hint = this.hints.get(key);
    if (!hint) return undefined;
    const isOld = performance.now() - hint.at > HINT_AGE_MS;
    if (hint.revision === revision && !isOld) return hint.version;
    this.hints.delete(key);
    return undefined;
  }
}
