/**
 * Lets one task wait until it is notified or a timeout passes. A notification that arrives before
 * the wait ends the next wait at once.
 *
 * @internal
 */
export class Signal {
  private isSet = false;
  private resume: (() => void) | undefined;

  /** Ends the current wait, or the next one if no task waits. */
  notify(): void {
    this.isSet = true;
    this.resume?.();
  }

  /** Returns once notified or once the timeout has passed. */
  async wait(ms: number): Promise<void> {
    if (!this.isSet) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, Math.ceil(ms));
        this.resume = () => {
          clearTimeout(timer);
          resolve();
        };
      });
      this.resume = undefined;
    }
    this.isSet = false;
  }
}
