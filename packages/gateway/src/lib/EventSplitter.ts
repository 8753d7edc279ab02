/** Largest event that is gathered, in bytes; a longer one breaks its stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const NO_BYTES = Buffer.alloc(0);
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** A run of whole events, as the backend server sent them. @public */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Id of the last of them that has one. */
  readonly lastId: string | undefined;
}

/**
 * Cuts a text/event-stream into whole events without changing a byte.
 *
 * @public
 */
export class EventSplitter {
  private rest: Buffer = NO_BYTES;

  /** Takes a chunk and returns the events that are whole by now, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const data =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const {end, count} = findLastBoundary(data);
    this.rest = data.subarray(end);
    if (this.rest.length > MAX_EVENT_BYTES) {
      throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
    if (count === 0) return undefined;
    const bytes = data.subarray(0, end);
    return {bytes, count, lastId: readLastId(bytes)};
  }

  /** Whether the stream stopped in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.rest.length > 0;
  }
}

/** Finds where the last whole event ends: behind an empty line. */
function findLastBoundary(data: Buffer): {end: number; count: number} {
  let end = 0;
  let count = 0;
  let lineStart = 0;
  for (;;) {
    const lineEnd = data.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return {end, count};
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
