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
    private readonly isServerHeard: () => boolean,
    private readonly giveUp: () => void,
  ) {}

  /** Starts or restarts the timer. */
  start({
    silentServerMs: silentMs,
    activeServerMs: heardMs,
  }: SilenceTimeouts): void {
    this.stop();
    const checkServer = () => {
      if (!this.isServerHeard()) {
        this.giveUp();
        return;
      }
      this.timer = setTimeout(this.giveUp, heardMs - silentMs);
    };
    this.timer = setTimeout(checkServer, silentMs);
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.timer);
  }
}
