import type {SilenceTimeouts} from '@sycamorehead/routing';

/**
 * Reports a server that sends nothing: after the shorter timeout if it is silent on all
 * connections, after the longer one if it is active on others.
 *
 * @internal
 */
export class SilenceTimer {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly isServerActive: () => boolean,
    private readonly onTimeout: () => void,
  ) {}

  /** Starts or restarts the timer. */
  start({silentServerMs, activeServerMs}: SilenceTimeouts): void {
    this.stop();
    const checkServer = () => {
      if (!this.isServerActive()) {
        this.onTimeout();
        return;
      }
      this.timer = setTimeout(this.onTimeout, activeServerMs - silentServerMs);
    };
    this.timer = setTimeout(checkServer, silentServerMs);
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.timer);
  }
}
