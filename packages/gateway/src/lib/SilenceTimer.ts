import type {SilenceTimeouts} from '@sycamorehead/routing';

/** Interval between two checks of whether a server is still active, in milliseconds. */
const CHECK_MS = 100;

/**
 * Reports a server that sends nothing: after the shorter timeout, as soon as it is silent on all
 * connections, and after the longer one in any case.
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
    const abandonAt = performance.now() + activeServerMs;
    const checkServer = () => {
      const leftMs = abandonAt - performance.now();
      if (leftMs <= 0 || !this.isServerActive()) {
        this.onTimeout();
        return;
      }
      this.timer = setTimeout(checkServer, Math.min(leftMs, CHECK_MS));
    };
    this.timer = setTimeout(checkServer, silentServerMs);
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.timer);
  }
}
