import {StandInServer} from '@sycamorehead/stand-ins';
import type {IncomingMessage, ServerResponse} from 'node:http';

const STREAM_END_DELAY_MS = 20;

/** One request as a scripted engine received it. */
export interface ScriptedRun {
  readonly attemptId: string;
  readonly resumeOffset: number;
  readonly model: string;
  /** Remote port of the connection, by which tests tell connections apart. */
  readonly port: number;
  isClosed: boolean;
}

/** One frame that a scripted engine writes. */
export interface ScriptedFrame {
  readonly text: string;
  readonly offset?: number;
  readonly tokens?: number;
  readonly isLast?: boolean;
  /** Identifier of the stream; defaults to the attempt identifier. */
  readonly id?: string;
}

/** Answers one request to a scripted engine. */
export type EngineScript = (
  run: ScriptedRun,
  response: ServerResponse,
) => void | Promise<void>;

/** Writes one frame in the format of an inference engine. */
export function writeFrame(
  response: ServerResponse,
  run: ScriptedRun,
  frame: ScriptedFrame,
): void {
  const {text, offset, tokens, isLast, id} = frame;
  const chunk = {
    id: id ?? run.attemptId,
    object: 'chat.completion.chunk',
    model: run.model,
    offset,
    tokens,
    choices: [
      {
        index: 0,
        delta: {content: text},
        finish_reason: isLast ? 'stop' : null,
      },
    ],
    ...(isLast && {usage: {prompt_tokens: 2, completion_tokens: offset ?? 1}}),
  };
  response.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

/** Writes the tokens `1 2 3 …` of an answer from one offset up to another. */
export function writeTokens(
  response: ServerResponse,
  run: ScriptedRun,
  from: number,
  to: number,
  total = to,
): void {
  for (let offset = from + 1; offset <= to; offset++) {
    const isLast = offset === total;
    writeFrame(response, run, {text: `${offset} `, offset, isLast});
  }
}

/** An engine that answers each request with its next script and repeats the last one. */
export class ScriptedEngine {
  readonly runs: ScriptedRun[] = [];
  private readonly server: StandInServer;

  constructor(private readonly scripts: readonly EngineScript[]) {
    this.server = new StandInServer((request, response, body) =>
      this.answer(request, response, body),
    );
  }

  /** Starts to listen and returns the address. */
  start(): Promise<string> {
    return this.server.start();
  }

  /** Closes every connection and stops. */
  stop(): Promise<void> {
    return this.server.stop();
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const {model} = JSON.parse(body) as {model: string};
    const run: ScriptedRun = {
      attemptId: String(request.headers['x-request-id']),
      resumeOffset: Number(request.headers['x-resume-offset']),
      model,
      port: request.socket.remotePort ?? 0,
      isClosed: false,
    };
    response.on('close', () => {
      run.isClosed = true;
    });
    const scriptIndex = Math.min(this.runs.length, this.scripts.length - 1);
    this.runs.push(run);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
    await this.scripts[scriptIndex]?.(run, response);
  }
}

/** Sends the remaining tokens of `1 2 3 4 5 6` and ends the stream, as a healthy engine does. */
export const answerRemainder: EngineScript = (run, response) => {
  writeTokens(response, run, run.resumeOffset, ANSWER_TOKENS);
  response.end('data: [DONE]\n\n');
};

/** Sends the same tokens, but ends the stream only after a delay. */
export const answerRemainderAndEndLate: EngineScript = async (
  run,
  response,
) => {
  writeTokens(response, run, run.resumeOffset, ANSWER_TOKENS);
  await new Promise(resolve => setTimeout(resolve, STREAM_END_DELAY_MS));
  response.end('data: [DONE]\n\n');
};

/** Number of tokens in the answer of `answerRemainder`. */
export const ANSWER_TOKENS = 6;

/** Text of the answer of `answerRemainder`. */
export const ANSWER_TEXT = '1 2 3 4 5 6 ';
