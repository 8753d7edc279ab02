import {isUtf8} from 'node:buffer';
import type {CompleteEvents} from './EventSplitter.js';

/** A field that an event may have, with a colon and a value or alone. */
const FIELD = /^(?:data|event|id|retry)(?::|$)/;
/** The value of the field that names the version of a model's weights. */
const VERSION_VALUE = /^: ?\d+$/;
/** Ends a line for some parsers of event streams. */
const LONE_CARRIAGE_RETURN = /\r(?!\n)/;
const ID_FIELD = /^id:? ?(.*)$/;
/** Ids stay exact as numbers up to this number of digits. */
const ID_VALUE = /^\d{1,15}$/;
const COMMENT = ':';

/** What a stream may deliver of some events. @internal */
export interface CheckedEvents {
  /** The events up to the first one that does not belong to the stream, without comments. */
  readonly bytes: Buffer;
  /** The id of the last of them; undefined if there is none. */
  readonly lastId: string | undefined;
  /** Why the next event does not belong to the stream; undefined if all do. */
  readonly violation: string | undefined;
}

/**
 * Checks that the events of a stream continue one run: each consists of fields and has one id, above
 * that of the event before. A faulty server may send other bytes among them.
 *
 * @internal
 */
export class EventSequence {
  /** Expects the id above which the first event must be, and the name of the field for a version. */
  constructor(
    private lastId: number,
    private readonly versionField: string,
  ) {}

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
      const event = bytes.subarray(start, end);
      start = end;
      const text = event.toString('latin1');
      const lines = listLines(text);
      if (lines.length === 0) continue;
      violation = this.checkEvent(event, text, lines);
      if (violation !== undefined) break;
      accepted.push(event);
    }
    return {
      bytes: Buffer.concat(accepted),
      lastId: this.lastId > startId ? String(this.lastId) : undefined,
      violation,
    };
  }

  /** Checks one event and returns what is wrong with it, if anything. */
  private checkEvent(
    event: Buffer,
    text: string,
    lines: readonly string[],
  ): string | undefined {
    const position = `the event behind ${this.lastId}`;
    if (!isUtf8(event)) return `${position} is not UTF-8`;
    if (LONE_CARRIAGE_RETURN.test(text)) {
      return `${position} has a line that ends with a lone carriage return`;
    }
    const [first = '', ...others] = lines;
    const fields = this.isVersion(first) ? others : lines;
    if (!fields.every(line => FIELD.test(line))) {
      return `${position} has a line that is no field`;
    }
    const ids = lines.flatMap(line => ID_FIELD.exec(line)?.[1] ?? []);
    const [id] = ids;
    if (id === undefined || ids.length > 1) {
      return `${position} has ${ids.length} ids`;
    }
    if (!ID_VALUE.test(id)) return `${position} has an id that is no number`;
    if (Number(id) <= this.lastId) return `${position} has the id ${id}`;
    this.lastId = Number(id);
    return undefined;
  }

  private isVersion(line: string): boolean {
    const {versionField} = this;
    return (
      line.startsWith(`${versionField}:`) &&
      VERSION_VALUE.test(line.slice(versionField.length))
    );
  }
}

/** Lists the lines of an event, without comments. */
function listLines(text: string): string[] {
  return text
    .split('\n')
    .map(line => (line.endsWith('\r') ? line.slice(0, -1) : line))
    .filter(line => line !== '' && !line.startsWith(COMMENT));
}
