import type {Usage} from '@sycamorehead/schema';

/** One frame of an answer; the terminal one carries the usage. @public */
export interface AnswerFrame {
  readonly text: string;
  readonly finishReason: 'stop' | 'length' | null;
  readonly usage?: Usage;
}
