import type {SilenceTimeouts} from '@sycamorehead/routing';

/**
 * Gives a server up that stays silent: after the shorter time where it is silent on all
 * connections, after the longer one where it is heard on others.
 *
 * @internal
 */
export class SilenceTimer {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly isServerHeard: () => boolean,
    private readonly giveUp: () => void,
  ) {}

  /** Starts waiting, anew if it waited already. */
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

  /** Ends waiting. */
  stop(): void {
    clearTimeout(this.timer);
  }
}
