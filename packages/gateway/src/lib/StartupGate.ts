/** Longest wait for the first configuration, in milliseconds; a group elects a leader in less. */
const MAX_WAIT_MS = 750;

/**
 * Lets requests that arrive before the first configuration wait for it for a moment: an entry that
 * has just been restarted has it within the time of an election.
 *
 * @public
 */
export class StartupGate {
  private hasArrived = false;
  private readonly waiters = new Set<() => void>();

  /** Lets all waiting requests go on. */
  open(): void {
    this.hasArrived = true;
    for (const leave of [...this.waiters]) leave();
  }

  /** Resolves once a configuration is there, the wait has lasted too long or nobody wants it. */
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
