import {isUtf8} from 'node:buffer';
import type {CompleteEvents} from './EventSplitter.js';

/** A field: a name, then a colon and a value, or one of the names that may stand alone. */
const FIELD = /^(?:[\w.-]+:|(?:data|event|id|retry)$)/;
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
  /** Expects the id above which the first event must be. */
  constructor(private lastId: number) {}

  /**
   * Checks the next events, in the order in which they arrived.
   *
   * @example
   * ```ts
   * const {bytes, violation} = new EventSequence(-1).check(events);
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
      const lines = listLines(event);
      if (lines.length === 0) continue;
      violation = this.checkEvent(event, lines);
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
    lines: readonly string[],
  ): string | undefined {
    const position = `the event behind ${this.lastId}`;
    if (!isUtf8(event)) return `${position} is not UTF-8`;
    if (!lines.every(line => FIELD.test(line))) {
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
}

/** Lists the lines of an event, without comments. */
function listLines(event: Buffer): string[] {
  return event
    .toString('latin1')
    .split('\n')
    .map(line => (line.endsWith('\r') ? line.slice(0, -1) : line))
    .filter(line => line !== '' && !line.startsWith(COMMENT));
}
