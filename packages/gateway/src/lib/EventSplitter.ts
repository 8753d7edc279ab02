import {GrowingBuffer} from '@sycamorehead/wire';

/** The largest event that is buffered, in bytes; a longer one fails its stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

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
  /** Holds the bytes behind the last complete event. */
  private readonly remainder = new GrowingBuffer();
  /** Start of the last line of the remainder, before which it has no boundary. */
  private lineStart = 0;

  /** Adds a chunk and returns the events that it completes, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const {remainder} = this;
    const searched = remainder.length;
    const isWhole = searched === 0;
    if (!isWhole) remainder.append(chunk);
    const data = isWhole ? chunk : remainder.bytes;
    const {ends, lineStart} = findBoundaries(data, this.lineStart, searched);
    const end = ends.at(-1) ?? 0;
    const bytes = isWhole ? data.subarray(0, end) : remainder.take(end);
    if (isWhole) remainder.append(data.subarray(end));
    this.lineStart = lineStart - end;
    if (remainder.length > MAX_EVENT_BYTES) {
      throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
    return ends.length === 0 ? undefined : {bytes, ends};
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

/**
 * Finds the ends of the complete events, each of which is behind an empty line. The last line begins at
 * `lineStart` and has no end before `searched`.
 */
function findBoundaries(
  data: Buffer,
  lineStart: number,
  searched: number,
): Boundaries {
  const ends: number[] = [];
  let start = lineStart;
  let from = searched;
  for (;;) {
    const lineEnd = data.indexOf(LINE_FEED, from);
    if (lineEnd < 0) return {ends, lineStart: start};
    const isEmpty =
      lineEnd === start ||
      (lineEnd === start + 1 && data[start] === CARRIAGE_RETURN);
    start = lineEnd + 1;
    from = start;
    if (isEmpty) ends.push(start);
  }
}
