import type {StoredResponse} from '@sycamorehead/schema';
import type {AnswerFrame} from './AnswerFrame.js';
import type {PlannedAnswer} from './answerTypes.js';

/** Formats one frame as a chunk of a streamed answer. @internal */
export function formatChunk(id: string, model: string, frame: AnswerFrame) {
  return {
    id,
    object: 'chat.completion.chunk',
    model,
    choices: [
      {
        index: 0,
        delta: {content: frame.text},
        finish_reason: frame.finishReason,
      },
    ],
    ...(frame.usage && {usage: frame.usage}),
  };
}

/** Formats a whole answer. @internal */
export function formatCompletion(
  id: string,
  model: string,
  text: string,
  last: AnswerFrame,
) {
  return {
    id,
    object: 'chat.completion',
    model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: text},
        finish_reason: last.finishReason,
      },
    ],
    usage: last.usage,
  };
}

/** Formats server-sent events, followed by `[DONE]`, which ends a complete stream. @internal */
export function formatEventStream(events: readonly unknown[]): string {
  const lines = events.map(event => `data: ${JSON.stringify(event)}\n\n`);
  return `${lines.join('')}data: [DONE]\n\n`;
}

/** Input of `encodeStoredResponse`. @internal */
export interface StoredResponseInput {
  readonly requestId: string;
  readonly answer: PlannedAnswer;
  readonly text: string;
  readonly last: AnswerFrame;
  readonly stream: boolean;
}

/**
 * Encodes a complete model answer, in the format that the caller requested, for later retries.
 *
 * @internal
 */
export function encodeStoredResponse(
  input: StoredResponseInput,
): StoredResponse {
  const {requestId, answer, text, last, stream} = input;
  const {model, version} = answer.version;
  const body = stream
    ? formatEventStream([formatChunk(requestId, model, {...last, text})])
    : JSON.stringify(formatCompletion(requestId, model, text, last));
  return {
    status: 200,
    contentType: stream ? 'text/event-stream' : 'application/json',
    body: Buffer.from(body).toString('base64'),
    origin: {version: {model, version}, revision: answer.revision},
  };
}
