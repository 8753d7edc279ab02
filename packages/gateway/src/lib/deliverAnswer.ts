import type {IncomingMessage} from 'node:http';
import type {SilenceTimeouts} from '@sycamorehead/routing';
import type {CallerAnswer} from './CallerAnswer.js';
import type {EventSequence} from './EventSequence.js';
import {EventSplitter} from './EventSplitter.js';
import {copyEndToEndHeaders} from './headerNames.js';
import {isEventStream} from './isEventStream.js';
import {isSuccessStatus} from './isSuccessStatus.js';
import {ReadLimit} from './ReadLimit.js';
import {SilenceTimer} from './SilenceTimer.js';
import type {ServerAnswer} from './sendAttempt.js';

/**
 * Maximum number of bytes of an answer that are buffered before delivery; a longer one is streamed.
 */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Maximum number of bytes read without a byte of the body, such as those of its framing. */
const MAX_OVERHEAD_BYTES = 128 * 1024;
const SILENCE_REASON = 'the server fell silent';
const LENGTH_HEADERS = new Set(['content-length']);

/** Inputs to the delivery of an answer. @public */
export interface Delivery {
  readonly serverAnswer: ServerAnswer;
  readonly answer: CallerAnswer;
  readonly method: string;
  /** The event after which the stream continues. */
  readonly lastEventId: string | undefined;
  /** The sequence that the events of a success must continue; undefined if the route does not stream. */
  readonly sequence: EventSequence | undefined;
  /** How long the server may stay silent before the next chunk. */
  readonly stallTimeouts: SilenceTimeouts;
  /** Returns whether anything was recently received from the server, on any connection. */
  isServerActive(): boolean;
  /** Returns whether the answer could continue, or be requested again, on another server. */
  isResendPermitted(): boolean;
  /** Called when the first bytes are ready to be delivered. */
  onFirstBytes(): void;
  /** Called for each chunk that has arrived. */
  onBytes(): void;
}

/** How far an answer was delivered. @public */
export interface DeliveryResult {
  readonly isComplete: boolean;
  /** Whether the server has ended its work on the answer, as far as its connection shows. */
  readonly isEnded: boolean;
  readonly reason: string;
  /** The last event that was delivered completely. */
  readonly lastEventId: string | undefined;
}

/**
 * Delivers a server's answer to the caller. A success on a route of streams is relayed event by event;
 * other answers are buffered first, so that an interrupted one can still be requested again.
 *
 * @example
 * ```ts
 * const {isComplete} = await deliverAnswer(delivery);
 * ```
 * @public
 */
export async function deliverAnswer(
  delivery: Delivery,
): Promise<DeliveryResult> {
  const {serverAnswer, sequence, method} = delivery;
  const {message, status} = serverAnswer;
  const hasEvents = isSuccessStatus(status) && method !== 'HEAD';
  if (sequence && hasEvents) return relayEvents(delivery, sequence);
  if (delivery.answer.isBegun) {
    // Bytes of another answer would make the one that has begun look complete.
    const reason = `a stream that had begun was answered ${status}`;
    return cancelDelivery(delivery, reason, delivery.lastEventId);
  }
  const isLive = isEventStream(message.headers['content-type'] ?? '');
  return relayBody(delivery, isLive ? 0 : MAX_BUFFERED_BYTES);
}

async function cancelDelivery(
  {serverAnswer}: Delivery,
  reason: string,
  lastEventId: string | undefined,
): Promise<DeliveryResult> {
  const isEnded = await serverAnswer.cancel();
  return {isComplete: false, isEnded, reason, lastEventId};
}

/**
 * Reads an answer until it ends or its next piece takes too long. `assemble` returns the piece that a
 * chunk completes, if any. A failure leaves the answer open, so that it can be cancelled.
 */
async function* readPieces<Piece>(
  delivery: Delivery,
  assemble: (chunk: Buffer) => Piece | undefined,
): AsyncGenerator<Piece> {
  const {serverAnswer, stallTimeouts} = delivery;
  const {message} = serverAnswer;
  let isSilent = false;
  const timer = new SilenceTimer(
    () => delivery.isServerActive(),
    () => {
      isSilent = delivery.isResendPermitted();
      if (isSilent) void serverAnswer.cancel();
    },
  );
  const limit = new ReadLimit(message.socket, MAX_OVERHEAD_BYTES, () => {
    void serverAnswer.cancel();
  });
  timer.start(stallTimeouts);
  try {
    const chunks = message.iterator({destroyOnReturn: false});
    for await (const chunk of chunks as AsyncIterable<Buffer>) {
      delivery.onBytes();
      limit.restart();
      const piece = assemble(chunk);
      if (piece === undefined) continue;
      // A caller that reads slowly must not count as silence of the server.
      timer.stop();
      yield piece;
      timer.start(stallTimeouts);
    }
  } catch (error) {
    throw isSilent ? new Error(SILENCE_REASON) : error;
  } finally {
    timer.stop();
    limit.stop();
  }
}

async function relayEvents(
  delivery: Delivery,
  sequence: EventSequence,
): Promise<DeliveryResult> {
  const {serverAnswer, answer} = delivery;
  const splitter = new EventSplitter();
  let {lastEventId} = delivery;
  let isFirst = true;
  // Bytes that are no event of the stream do not count against its silence.
  const readEvents = (chunk: Buffer) => {
    const events = splitter.push(chunk);
    const checked = events && sequence.check(events);
    const hasNews = checked?.violation !== undefined || checked?.bytes.length;
    return hasNews ? checked : undefined;
  };
  try {
    for await (const checked of readPieces(delivery, readEvents)) {
      const {bytes, lastId, violation} = checked;
      if (bytes.length > 0) {
        if (isFirst) delivery.onFirstBytes();
        isFirst = false;
        beginStream(delivery);
        await answer.write(bytes);
      }
      lastEventId = lastId ?? lastEventId;
      if (violation !== undefined) {
        return cancelDelivery(delivery, violation, lastEventId);
      }
    }
  } catch (error) {
    return cancelDelivery(delivery, String(error), lastEventId);
  }
  const isWhole = serverAnswer.isComplete() && !splitter.hasPartialEvent;
  if (!isWhole || !sequence.hasBegun) {
    return cancelDelivery(delivery, 'the stream broke off', lastEventId);
  }
  // Nothing may follow the last event that the caller of a resumed stream has.
  beginStream(delivery);
  answer.finish();
  return {isComplete: true, isEnded: true, reason: '', lastEventId};
}

/** Sends the head of a stream unless it has been sent. */
function beginStream({answer, serverAnswer}: Delivery): void {
  const {status, message} = serverAnswer;
  answer.begin(status, copyEndToEndHeaders(message.rawHeaders, LENGTH_HEADERS));
}

/** Relays an answer as it is, from the moment on at which more bytes have arrived than may be buffered. */
async function relayBody(
  delivery: Delivery,
  maxBufferedBytes: number,
): Promise<DeliveryResult> {
  const {serverAnswer, answer, lastEventId} = delivery;
  const {message, status} = serverAnswer;
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of readPieces(delivery, chunk => chunk)) {
      if (answer.isBegun) {
        await answer.write(chunk);
        continue;
      }
      if (bytes === 0) delivery.onFirstBytes();
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes <= maxBufferedBytes) continue;
      answer.begin(status, copyEndToEndHeaders(message.rawHeaders, new Set()));
      await answer.write(Buffer.concat(chunks));
    }
  } catch (error) {
    return cancelDelivery(delivery, String(error), lastEventId);
  }
  if (!serverAnswer.isComplete()) {
    return cancelDelivery(delivery, 'the answer broke off', lastEventId);
  }
  if (bytes === 0) delivery.onFirstBytes();
  finishBuffered(delivery, message, Buffer.concat(chunks));
  return {isComplete: true, isEnded: true, reason: '', lastEventId};
}

function finishBuffered(
  {answer, method, serverAnswer}: Delivery,
  message: IncomingMessage,
  body: Buffer,
): void {
  const {status} = serverAnswer;
  if (answer.isBegun) {
    answer.finish();
    return;
  }
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  const {rawHeaders} = message;
  if (hasNoBody) {
    answer.begin(status, copyEndToEndHeaders(rawHeaders, new Set()));
    answer.finish();
    return;
  }
  answer.sendComplete(
    status,
    copyEndToEndHeaders(rawHeaders, LENGTH_HEADERS),
    body,
  );
}
