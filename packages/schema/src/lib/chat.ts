import {z} from 'zod';
import {validateInput} from './validateInput.js';

const MAX_MESSAGES = 1_000;
const MAX_OUTPUT_TOKENS = 1_000_000;
/** Mean number of characters per token in ordinary prose. */
const CHARACTERS_PER_TOKEN = 4;

const message = z.looseObject({
  role: z.enum(['system', 'user', 'assistant']),
  content: z.string(),
});

/** Validator of a chat request in the OpenAI format. @public */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1).max(63),
  messages: z.array(message).min(1).max(MAX_MESSAGES),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(MAX_OUTPUT_TOKENS).optional(),
  metadata: z.record(z.string(), z.string()).optional(),
});

/** A validated chat request. @public */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** One frame of a streamed answer, as engines send it. @public */
export interface ChatChunk {
  readonly id: string;
  readonly object: 'chat.completion.chunk';
  readonly model: string;
  readonly choices: ReadonlyArray<{
    readonly index: number;
    readonly delta: {readonly role?: string; readonly content?: string};
    readonly finish_reason: 'stop' | 'length' | null;
  }>;
  readonly usage?: Usage;
  /** Number of tokens of the answer up to and including this frame. */
  readonly offset?: number;
  /** Number of tokens in this frame; defaults to 1. */
  readonly tokens?: number;
}

/** Token counts of an answer. @public */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly cached_tokens?: number;
}

/**
 * Validates the body of a chat request.
 *
 * @throws SycamoreheadError `malformed_request` naming the field.
 * @example
 * ```ts
 * parseChatRequest({model: 'auto', messages: [{role: 'user', content: 'hi'}]}).stream; // false
 * ```
 * @public
 */
export function parseChatRequest(body: unknown): ChatRequest {
  return validateInput(chatRequestSchema, body, 'malformed_request', 'body');
}

/**
 * Estimates the number of tokens of a prompt from its number of characters.
 *
 * @example
 * ```ts
 * estimatePromptTokens([{content: 'Twelve chars'}]); // 3
 * ```
 * @public
 */
export function estimatePromptTokens(
  messages: ReadonlyArray<{readonly content: string}>,
): number {
  const characters = messages.reduce(
    (sum, {content}) => sum + content.length,
    0,
  );
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}
