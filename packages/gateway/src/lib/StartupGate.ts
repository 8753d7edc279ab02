/** The longest wait for the first configuration, in milliseconds; electing a leader takes less. */
const MAX_WAIT_MS = 750;

/**
 * Delays requests that arrive before the first configuration. An entry that has just been
 * restarted receives it within the time of an election.
 *
 * @public
 */
export class StartupGate {
  private hasArrived = false;
  private readonly waiters = new Set<() => void>();

  /** Lets all waiting requests continue. */
  open(): void {
    this.hasArrived = true;
    for (const leave of [...this.waiters]) leave();
  }

  /** Resolves once a configuration has arrived, the wait has timed out or the signal is aborted. */
  waitForRoutes(signal: AbortSignal): Promise<void> {
    if (this.hasArrived || signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const leave = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', leave);
        this.waiters.delete(leave);
        resolve();
      };
      const timer = setTimeout(leave, MAX_WAIT_MS);
      signal.addEventListener('abort', leave, {once: true});
      this.waiters.add(leave);
    });
  }
}
