/**
 * Lets one task sleep until it is woken or time has passed. A wake-up that comes before the task
 * sleeps is kept.
 *
 * @internal
 */
export class Signal {
  private isSet = false;
  private resume: (() => void) | undefined;

  /** Wakes the task. */
  notify(): void {
    this.isSet = true;
    this.resume?.();
  }

  /** Returns once notified or once the time has passed. */
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
