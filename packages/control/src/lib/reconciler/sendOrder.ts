import {request} from 'undici';
import type {VersionRef} from '@sycamorehead/schema';
import {readBounded} from '@sycamorehead/wire';

/** An order as sent to an engine. @public */
export interface EngineOrderMessage extends VersionRef {
  readonly action: 'load' | 'unload';
  /**
   * Log index of the order; engines that check it reject a number lower than the highest that they
   * have seen.
   */
  readonly fencing: number;
}

/** Outcome of an order. @public */
export type OrderOutcome =
  | {readonly state: 'accepted'}
  | {readonly state: 'refused'; readonly retryAfterMs: number}
  /** The engine has seen a higher fencing number. */
  | {readonly state: 'fenced'}
  | {readonly state: 'unknown'};

/** Sends an order to an engine. @public */
export type OrderSender = (
  address: string,
  order: EngineOrderMessage,
  timeoutMs: number,
) => Promise<OrderOutcome>;

const DEFAULT_RETRY_MS = 1_000;
const FENCED_STATUS = 409;
/** Maximum size of an engine's answer, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024;

/**
 * Sends an order to an engine over HTTP. The engine answers once it has started to execute it and
 * announces its effect later.
 *
 * @example
 * ```ts
 * await sendOrder(address, {action: 'load', model, version, fencing: 7}, 1_000);
 * ```
 * @internal
 */
export async function sendOrder(
  address: string,
  order: EngineOrderMessage,
  timeoutMs: number,
): Promise<OrderOutcome> {
  try {
    const {statusCode, body} = await request(`${address}/v1/orders`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const bytes = await readBounded(
      body,
      MAX_ANSWER_BYTES,
      () => new Error('the answer to an order is too long'),
    );
    if (statusCode < 300) return {state: 'accepted'};
    if (statusCode === FENCED_STATUS) return {state: 'fenced'};
    return {
      state: 'refused',
      retryAfterMs: readRetryAfter(bytes.toString('utf8')),
    };
  } catch {
    return {state: 'unknown'};
  }
}

function readRetryAfter(text: string): number {
  try {
    const body = JSON.parse(text) as {error?: {retryAfterMs?: unknown}};
    const given = Number(body.error?.retryAfterMs);
    return given > 0 ? given : DEFAULT_RETRY_MS;
  } catch {
    return DEFAULT_RETRY_MS;
  }
}
