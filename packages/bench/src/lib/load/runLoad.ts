import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import type {Arrival} from './arrivals.js';

const CONNECTIONS = 2_000;
const WORD = 'word ';
const CHARACTERS_PER_TOKEN = 4;
const RESPONSE_TIMEOUT_MS = 60_000;

/** One request and its result as observed by the caller. @public */
export interface CallRecord {
  readonly arrival: Arrival;
  readonly entry: number;
  readonly status: number;
  /** Error kind, `ok` for a complete answer, or `cut` if the connection broke. */
  readonly outcome: string;
  readonly ran?: string;
  readonly requestId: string;
  /** `model/version` that answered. */
  readonly version: string;
  readonly firstTokenMs?: number;
  readonly totalMs: number;
  readonly tokens: number;
}

/** Destination of a load. @public */
export interface LoadTarget {
  /** Base URLs of the entries; requests go to them in turn, by the index of the request. */
  readonly entryUrls: readonly string[];
  /** Returns the API key of a customer. */
  readonly getKey: (customer: string) => string;
  /** Requested model; `auto` by default. */
  readonly model?: string;
}

/**
 * Sends every request at its arrival time, without waiting for earlier requests (open loop), and
 * returns the result of each.
 *
 * @example
 * ```ts
 * const records = await runLoad({entryUrls: fleet.entryUrls, getKey}, generateArrivals(plan));
 * ```
 * @public
 */
export async function runLoad(
  target: LoadTarget,
  arrivals: readonly Arrival[],
): Promise<CallRecord[]> {
  const agent = new Agent({
    connections: CONNECTIONS,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });
  const startedAt = performance.now();
  const calls = arrivals.map(async arrival => {
    const waitMs = arrival.atMs - (performance.now() - startedAt);
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    return callEntry(target, arrival, agent);
  });
  const records = await Promise.all(calls);
  await agent.destroy();
  return records;
}

async function callEntry(
  target: LoadTarget,
  arrival: Arrival,
  agent: Agent,
): Promise<CallRecord> {
  const entry = arrival.index % target.entryUrls.length;
  const startedAt = performance.now();
  const common = {arrival, entry, requestId: '', version: '', tokens: 0};
  try {
    const response = await sendCall(target, arrival, entry, agent);
    const {headers, statusCode: status} = response;
    const received = {
      ...common,
      status,
      requestId: String(headers['sycamorehead-request-id'] ?? ''),
      version: `${headers['sycamorehead-model']}/${headers['sycamorehead-version']}`,
    };
    const isStream = String(headers['content-type']).startsWith('text/event');
    if (isStream) {
      return {...received, ...(await readStream(response.body, startedAt))};
    }
    const text = await response.body.text();
    const totalMs = performance.now() - startedAt;
    if (status < 400) return {...received, outcome: 'ok', totalMs};
    const {error} = JSON.parse(text) as {error: {kind: string; ran: string}};
    return {...received, outcome: error.kind, ran: error.ran, totalMs};
  } catch {
    const totalMs = performance.now() - startedAt;
    return {...common, status: 0, outcome: 'cut', totalMs};
  }
}

function sendCall(
  target: LoadTarget,
  arrival: Arrival,
  entry: number,
  agent: Agent,
) {
  const {kind, customer, index} = arrival;
  const base = target.entryUrls[entry] ?? '';
  const authorization = `Bearer ${target.getKey(customer)}`;
  if (kind.service) {
    const {name, method, path, isRepeatable} = kind.service;
    return request(`${base}/services/${name}${path}`, {
      method,
      dispatcher: agent,
      headers: {
        authorization,
        ...(!isRepeatable && {'idempotency-key': `${customer}-${index}`}),
      },
      body: method === 'POST' ? JSON.stringify({index}) : undefined,
    });
  }
  const words = Math.ceil(
    (arrival.promptTokens * CHARACTERS_PER_TOKEN) / WORD.length,
  );
  return request(`${base}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {authorization, 'content-type': 'application/json'},
    body: JSON.stringify({
      model: target.model ?? 'auto',
      stream: true,
      messages: [{role: 'user', content: `${index} ${WORD.repeat(words)}`}],
      metadata: {
        kind: kind.kind,
        deadline_ms: String(kind.deadlineMs),
        // Only the stand-in engine reads this; the router does not know the length of an answer.
        stand_in_tokens: String(arrival.outputTokens),
      },
    }),
  });
}

type StreamResult = Pick<
  CallRecord,
  'outcome' | 'ran' | 'firstTokenMs' | 'totalMs' | 'tokens'
>;

async function readStream(
  body: AsyncIterable<Buffer>,
  startedAt: number,
): Promise<StreamResult> {
  let firstTokenMs: number | undefined;
  let tokens = 0;
  let outcome = 'cut';
  let ran: string | undefined;
  const parser = createParser({
    onEvent({data}) {
      if (data === '[DONE]') {
        outcome = 'ok';
        return;
      }
      const frame = JSON.parse(data) as {error?: {kind: string; ran: string}};
      if (frame.error) {
        outcome = frame.error.kind;
        ran = frame.error.ran;
        return;
      }
      firstTokenMs ??= performance.now() - startedAt;
      tokens += 1;
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
  const totalMs = performance.now() - startedAt;
  return {outcome, ran, firstTokenMs, totalMs, tokens};
}
