import type {VersionRef} from '@sycamorehead/schema';

const MAX_PINS = 20_000;
/**
 * Time for which a cached pin is used without confirmation by control, in milliseconds. It is far
 * below the idle timeout of the replicated pins, so that a session served from the cache never
 * expires there.
 */
const MAX_PIN_AGE_MS = 60_000;

interface CachedPin {
  readonly version: VersionRef;
  /** Revision under which control confirmed the pin. */
  readonly revision: number;
  readonly confirmedAt: number;
}

/**
 * This entry's cache of session pins. The pin that was confirmed longest ago is evicted first. A
 * cached pin is valid only for the revision at which it was confirmed.
 *
 * @internal
 */
export class SessionPinCache {
  private readonly pins = new Map<string, CachedPin>();

  /** Caches a confirmed pin. */
  set(key: string, version: VersionRef, revision: number): void {
    this.pins.delete(key);
    this.pins.set(key, {version, revision, confirmedAt: performance.now()});
    if (this.pins.size <= MAX_PINS) return;
    for (const oldest of this.pins.keys()) {
      this.pins.delete(oldest);
      return;
    }
  }

  /** Returns a session's version if its cached pin is still valid. */
  get(key: string, revision: number): VersionRef | undefined {
    const pin = this.pins.get(key);
    if (!pin) return undefined;
    const isExpired = performance.now() - pin.confirmedAt > MAX_PIN_AGE_MS;
    if (pin.revision === revision && !isExpired) return pin.version;
    this.pins.delete(key);
    return undefined;
  }
}
