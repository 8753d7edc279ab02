import {StandInServer, sendJson} from './StandInServer.js';

/** Settings of a stand-in weight store. @public */
export interface StandInWeightStoreOptions {
  /** Duration of one load, in milliseconds. */
  readonly loadMs: number;
  /** Number of loads that may start within a window; further loads are answered 429. */
  readonly loadsPerWindow: number;
  readonly windowMs: number;
}

/** A rate-limited stand-in weight store: `GET /weights/{model}/{version}`. @public */
export class StandInWeightStore {
  /** Number of refused loads. */
  refused = 0;
  /** Number of served loads. */
  served = 0;
  private loadStartTimes: number[] = [];
  private readonly server: StandInServer;

  constructor(private readonly options: StandInWeightStoreOptions) {
    this.server = new StandInServer(async (incoming, response) => {
      const now = performance.now();
      this.loadStartTimes = this.loadStartTimes.filter(
        at => at > now - options.windowMs,
      );
      if (this.loadStartTimes.length >= options.loadsPerWindow) {
        this.refused += 1;
        const [oldest = now] = this.loadStartTimes;
        const retryAfterMs = Math.ceil(oldest + options.windowMs - now);
        sendJson(response, 429, {error: {message: 'rate limit', retryAfterMs}});
        return;
      }
      this.loadStartTimes.push(now);
      // The response head reports immediately that the load has started; the body follows later.
      response.writeHead(200, {'content-type': 'application/json'});
      response.flushHeaders();
      await new Promise(resolve => setTimeout(resolve, options.loadMs));
      this.served += 1;
      response.end(JSON.stringify({weights: incoming.url}));
    });
  }

  /** Starts to serve and returns the base URL. */
  start(): Promise<string> {
    return this.server.start();
  }

  /** Closes every connection and stops. */
  stop(): Promise<void> {
    return this.server.stop();
  }
}
