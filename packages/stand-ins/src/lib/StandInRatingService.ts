import {createHash} from 'node:crypto';
import {StandInServer, sendJson} from './StandInServer.js';

/** A request to the rating service. @public */
export interface RatingRequest {
  readonly requestId: string;
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  readonly answer: string;
}

/** Settings of a stand-in rating service. @public */
export interface StandInRatingServiceOptions {
  /** Mean rating, 0 to 1, by `model/version` or `model/version/kind`. */
  readonly quality: Record<string, number>;
  /** Half the width of the uniform noise on each rating. */
  readonly noise?: number;
}

const DEFAULT_QUALITY = 0.8;
const DEFAULT_NOISE = 0.1;

/** A stand-in rating service: `POST /ratings` returns a rating from 0 to 1. @public */
export class StandInRatingService {
  /** Delay of each rating, in milliseconds. */
  delayMs = 0;
  /** Share of the requests that are answered 204, without a rating. */
  missingShare = 0;
  /** Whether all requests are answered 503. */
  isDown = false;
  readonly quality: Record<string, number>;
  private readonly server: StandInServer;

  constructor(private readonly options: StandInRatingServiceOptions) {
    this.quality = {...options.quality};
    this.server = new StandInServer(async (incoming, response, body) => {
      if (this.isDown) {
        sendJson(response, 503, {error: {message: 'rating service is down'}});
        return;
      }
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
      const ratingRequest = JSON.parse(body) as RatingRequest;
      if (
        sampleByHash(`missing ${ratingRequest.requestId}`) < this.missingShare
      ) {
        response.writeHead(204).end();
        return;
      }
      sendJson(response, 200, {rating: this.rate(ratingRequest)});
    });
  }

  /** Rates one answer; equal requests get equal ratings. */
  rate({requestId, kind, model, version}: RatingRequest): number {
    const key = `${model}/${version}`;
    const mean =
      this.quality[`${key}/${kind}`] ?? this.quality[key] ?? DEFAULT_QUALITY;
    const uniform = sampleByHash(`${requestId}${key}`);
    const noise = (this.options.noise ?? DEFAULT_NOISE) * (2 * uniform - 1);
    return Math.min(1, Math.max(0, mean + noise));
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

function sampleByHash(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / 0xffffffff;
}
