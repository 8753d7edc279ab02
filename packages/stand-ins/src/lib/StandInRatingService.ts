import {createHash} from 'node:crypto';
import {StandInServer, sendJson} from './StandInServer.js';

/** A question to the rating service. @public */
export interface RatingRequest {
  readonly requestId: string;
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  readonly answer: string;
}

/** Settings of a stand-in rating service. @public */
export interface StandInRatingServiceOptions {
  /** Mean rating by `model/version`, or by `model/version/kind`, 0 to 1. */
  readonly quality: Record<string, number>;
  /** Half width of the uniform noise on each rating. */
  readonly noise?: number;
}

const DEFAULT_QUALITY = 0.8;
const DEFAULT_NOISE = 0.1;

/** Rates answers: `POST /ratings` gives a rating from 0 to 1. @public */
export class StandInRatingService {
  /** Delay of each rating, in milliseconds. */
  delayMs = 0;
  /** Share of the questions for which it has no rating; answered 204. */
  missingShare = 0;
  /** Answers 503 where set. */
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
      const question = JSON.parse(body) as RatingRequest;
      if (sampleByHash(`missing ${question.requestId}`) < this.missingShare) {
        response.writeHead(204).end();
        return;
      }
      sendJson(response, 200, {rating: this.rate(question)});
    });
  }

  /** Rates one answer; the same question gets the same rating. */
  rate({requestId, kind, model, version}: RatingRequest): number {
    const key = `${model}/${version}`;
    const mean =
      this.quality[`${key}/${kind}`] ?? this.quality[key] ?? DEFAULT_QUALITY;
    const uniform = sampleByHash(`${requestId}${key}`);
    const noise = (this.options.noise ?? DEFAULT_NOISE) * (2 * uniform - 1);
    return Math.min(1, Math.max(0, mean + noise));
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

function sampleByHash(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / 0xffffffff;
}
