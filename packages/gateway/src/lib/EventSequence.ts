import {isUtf8} from 'node:buffer';
import type {CompleteEvents} from './EventSplitter.js';
import {parseEventId} from './parseEventId.js';

/** The fields that an event may have, with what may follow their names. */
const FIELDS: ReadonlyMap<string, RegExp> = new Map([
  ['data', /^:/],
  ['event', /^(?::|$)/],
  ['id', /^(?::|$)/],
  ['retry', /^: ?\d+$/],
]);
const FIELD_NAME = /^[a-z]+/;
const ID_FIELD = /^id:? ?(.*)$/;
const DATA_FIELD = 'data:';
/** The value of the field that names the version of a model's weights. */
const VERSION_VALUE = /^: ?\d+$/;
/** Ends a line for some parsers of event streams. */
const LONE_CARRIAGE_RETURN = /\r(?!\n)/;
const COMMENT = ':';
const COMMENT_LINE = /(?:^|\n):/;

/** What a stream may deliver of some events. @internal */
export interface CheckedEvents {
  /** The events up to the first one that does not belong to the stream, without comments. */
  readonly bytes: Buffer;
  /** The id of the last of them; undefined if there is none. */
  readonly lastId: string | undefined;
  /** Why the next event does not belong to the stream; undefined if all do. */
  readonly violation: string | undefined;
}

/** An event of which the lines have been checked. */
interface ParsedEvent {
  readonly id: number;
  /** Whether the id precedes the data. */
  readonly isIdFirst: boolean;
}

/**
 * Checks that the events that one caller gets continue one run, across all sends of the request: each
 * consists of fields and has one id, above that of the event before. A faulty server may send other
 * bytes among them.
 *
 * @internal
 */
export class EventSequence {
  /** The difference between the first two ids. */
  private step: number | undefined;
  private hasOtherStep = false;
  /** Whether the ids of the stream precede the data. */
  private isIdFirst: boolean | undefined;

  /** Expects the id above which the first event must be, and the name of the field for a version. */
  constructor(
    private lastId: number,
    private readonly versionField: string,
  ) {}

  // Commands.

  /**
   * Checks the next events, in the order in which they arrived.
   *
   * @example
   * ```ts
   * const {bytes, violation} = new EventSequence(-1, 'x-weight-version').check(events);
   * ```
   */
  check({bytes, ends}: CompleteEvents): CheckedEvents {
    const accepted: Buffer[] = [];
    const startId = this.lastId;
    let violation: string | undefined;
    let start = 0;
    for (const end of ends) {
      const text = dropComments(bytes.toString('latin1', start, end));
      start = end;
      const lines = listLines(text);
      if (lines.length === 0) continue;
      const event = Buffer.from(text, 'latin1');
      const parsed = this.parseEvent(event, text, lines);
      if (typeof parsed === 'string') {
        violation = `the event behind ${this.lastId} ${parsed}`;
        break;
      }
      this.accept(parsed);
      accepted.push(event);
    }
    return {
      bytes: Buffer.concat(accepted),
      lastId: this.lastId > startId ? String(this.lastId) : undefined,
      violation,
    };
  }

  private accept({id, isIdFirst}: ParsedEvent): void {
    this.isIdFirst ??= isIdFirst;
    if (this.lastId >= 0) {
      const step = id - this.lastId;
      this.step ??= step;
      this.hasOtherStep ||= step !== this.step;
    }
    this.lastId = id;
  }

  // Queries.

  /** Whether the caller has an event of the stream. */
  get hasBegun(): boolean {
    return this.lastId >= 0;
  }

  /**
   * Whether the stream may go on behind its last event. An id that is further away than the others may
   * be a faulty server's; the events before it would be missing.
   */
  get isContinuable(): boolean {
    return !this.hasOtherStep;
  }

  /** Parses one event; returns what is wrong with it, if anything. */
  private parseEvent(
    event: Buffer,
    text: string,
    lines: readonly string[],
  ): ParsedEvent | string {
    if (!isUtf8(event)) return 'is not UTF-8';
    if (LONE_CARRIAGE_RETURN.test(text)) {
      return 'has a line that ends with a lone carriage return';
    }
    const [first = '', ...others] = lines;
    const fields = this.isVersion(first) ? others : lines;
    if (!fields.every(isField)) return 'has a line that is no field';
    const ids = fields.flatMap(line => ID_FIELD.exec(line)?.[1] ?? []);
    if (ids.length !== 1) return `has ${ids.length} ids`;
    const id = parseEventId(ids[0]);
    if (id === undefined) return 'has an id that is no number';
    if (id <= this.lastId) return `has the id ${id}`;
    const dataIndex = fields.findIndex(line => line.startsWith(DATA_FIELD));
    if (dataIndex < 0) return 'has no data';
    const isIdFirst = fields.findIndex(line => ID_FIELD.test(line)) < dataIndex;
    if (isIdFirst !== (this.isIdFirst ?? isIdFirst)) {
      return 'has its id elsewhere than the others';
    }
    return {id, isIdFirst};
  }

  private isVersion(line: string): boolean {
    const {versionField} = this;
    return (
      line.startsWith(versionField) &&
      VERSION_VALUE.test(line.slice(versionField.length))
    );
  }
}

function isField(line: string): boolean {
  const name = FIELD_NAME.exec(line)?.[0] ?? '';
  return FIELDS.get(name)?.test(line.slice(name.length)) ?? false;
}

/** Returns an event without its comments, which are not part of it. */
function dropComments(text: string): string {
  if (!COMMENT_LINE.test(text)) return text;
  const lines = text.split('\n');
  return lines.filter(line => !line.startsWith(COMMENT)).join('\n');
}

/** Lists the lines of an event that are not empty. */
function listLines(text: string): string[] {
  return text
    .split('\n')
    .map(line => (line.endsWith('\r') ? line.slice(0, -1) : line))
    .filter(line => line !== '');
}
