/** The largest event that is buffered, in bytes; a longer one fails its stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const NO_BYTES = Buffer.alloc(0);

/** A sequence of complete events, as the backend server sent them. @public */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The position behind each event. */
  readonly ends: readonly number[];
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
    const {ends, lineStart} = findBoundaries(data, this.lineStart);
    const end = ends.at(-1) ?? 0;
    // A copy does not keep the memory of the chunk, which may be much larger.
    this.remainder = end === 0 ? data : Buffer.from(data.subarray(end));
    this.lineStart = lineStart - end;
    if (this.remainder.length > MAX_EVENT_BYTES) {
      throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
    if (ends.length === 0) return undefined;
    return {bytes: data.subarray(0, end), ends};
  }

  /** Whether the stream stops in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }
}

interface Boundaries {
  /** The position behind each complete event. */
  readonly ends: readonly number[];
  /** The start of the last line. */
  readonly lineStart: number;
}

/** Finds the ends of the complete events, each of which is behind an empty line. */
function findBoundaries(data: Buffer, from: number): Boundaries {
  const ends: number[] = [];
  let lineStart = from;
  for (;;) {
    const lineEnd = data.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return {ends, lineStart};
    const isEmpty =
      lineEnd === lineStart ||
      (lineEnd === lineStart + 1 && data[lineStart] === CARRIAGE_RETURN);
    lineStart = lineEnd + 1;
    if (isEmpty) ends.push(lineStart);
  }
}
