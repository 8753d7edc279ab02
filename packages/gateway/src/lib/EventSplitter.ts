/** The largest event that is buffered, in bytes; a longer one fails its stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const NO_BYTES = Buffer.alloc(0);
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** A sequence of complete events, as the backend server sent them. @public */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** The id of the last event that has one. */
  readonly lastId: string | undefined;
}

/**
 * Splits a text/event-stream into complete events without changing a byte.
 *
 * @public
 */
export class EventSplitter {
  private remainder: Buffer = NO_BYTES;
  /** Start of the last line of the remainder, before which it has no boundary. */
  private lineStart = 0;

  /** Adds a chunk and returns the events that it completes, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const data =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    const {end, count, lineStart} = findLastBoundary(data, this.lineStart);
    this.remainder = data.subarray(end);
    this.lineStart = lineStart - end;
    if (this.remainder.length > MAX_EVENT_BYTES) {
      throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
    if (count === 0) return undefined;
    const bytes = data.subarray(0, end);
    return {bytes, count, lastId: readLastId(bytes)};
  }

  /** Whether the stream stops in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }
}

interface Boundary {
  /** The end of the last complete event, or 0. */
  readonly end: number;
  /** The number of complete events. */
  readonly count: number;
  /** The start of the last line. */
  readonly lineStart: number;
}

/** Finds the end of the last complete event, which is after an empty line. */
function findLastBoundary(data: Buffer, from: number): Boundary {
  let end = 0;
  let count = 0;
  let lineStart = from;
  for (;;) {
    const lineEnd = data.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return {end, count, lineStart};
    const isEmpty =
      lineEnd === lineStart ||
      (lineEnd === lineStart + 1 && data[lineStart] === CARRIAGE_RETURN);
    lineStart = lineEnd + 1;
    if (!isEmpty) continue;
    end = lineStart;
    count += 1;
  }
}

function readLastId(bytes: Buffer): string | undefined {
  const text = bytes.toString('latin1');
  const start = text.lastIndexOf('\nid:') + 1;
  return ID_FIELD.exec(text.slice(start))?.[1]?.trim();
}
