/** Maximum wait for the first configuration, in milliseconds; electing a leader takes less. */
const MAX_WAIT_MS = 750;

/**
 * Delays requests that arrive before the first configuration. An entry that has just been
 * restarted receives it within the time of an election.
 *
 * @public
 */
export class StartupGate {
  private isOpen = false;
  private readonly waiters = new Set<() => void>();

  /** Lets all waiting requests continue. */
  open(): void {
    this.isOpen = true;
    for (const release of [...this.waiters]) release();
  }

  /** Resolves once a configuration has arrived, the wait has timed out or the signal is aborted. */
  waitForRoutes(signal: AbortSignal): Promise<void> {
    if (this.isOpen || signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const release = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', release);
        this.waiters.delete(release);
        resolve();
      };
      const timer = setTimeout(release, MAX_WAIT_MS);
      signal.addEventListener('abort', release, {once: true});
      this.waiters.add(release);
    });
  }
}
