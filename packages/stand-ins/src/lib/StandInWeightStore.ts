import {StandInServer, sendJson} from './StandInServer.js';

/** Settings of a stand-in weight store. @public */
export interface StandInWeightStoreOptions {
  /** Time of one load, in milliseconds. */
  readonly loadMs: number;
  /** Loads allowed to begin in a window; more get 429. */
  readonly loadsPerWindow: number;
  readonly windowMs: number;
}

/** A weight store limited by rate: `GET /weights/{model}/{version}`. @public */
export class StandInWeightStore {
  /** Loads that were refused. */
  refused = 0;
  /** Loads that were served. */
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
      // The head tells at once that the load has begun; the body takes its time.
      response.writeHead(200, {'content-type': 'application/json'});
      response.flushHeaders();
      await new Promise(resolve => setTimeout(resolve, options.loadMs));
      this.served += 1;
      response.end(JSON.stringify({weights: incoming.url}));
    });
  }

  /** Starts to serve. */
  start(): Promise<string> {
    return this.server.start();
  }

  /** Stops. */
  stop(): Promise<void> {
    return this.server.stop();
  }
}
