import fc from 'fast-check';

/** One mutation of a byte string. */
interface Edit {
  readonly action: 'flip' | 'insert' | 'delete' | 'repeat';
  /** Position as a fraction of the length, 0 to 1. */
  readonly position: number;
  readonly bytes: Uint8Array;
}

const MAX_EDITS = 6;
const MAX_EDIT_BYTES = 16;

const EDITORS: Readonly<
  Record<Edit['action'], (bytes: Buffer, at: number, edit: Buffer) => Buffer>
> = {
  flip: (bytes, at, edit) => {
    const copy = Buffer.from(bytes);
    edit.copy(copy, at);
    return copy;
  },
  insert: (bytes, at, edit) =>
    Buffer.concat([bytes.subarray(0, at), edit, bytes.subarray(at)]),
  delete: (bytes, at, edit) =>
    Buffer.concat([bytes.subarray(0, at), bytes.subarray(at + edit.length)]),
  repeat: (bytes, at, edit) =>
    Buffer.concat([bytes, bytes.subarray(at, at + edit.length)]),
};

function applyEdit(bytes: Buffer, edit: Edit): Buffer {
  const offset = Math.floor(edit.position * bytes.length);
  return EDITORS[edit.action](bytes, offset, Buffer.from(edit.bytes));
}

/**
 * Builds a fast-check arbitrary of byte strings that differ from valid ones by a few edits.
 *
 * @example
 * ```ts
 * fc.sample(mutateBytes(['number: 1']), 3);
 * ```
 * @public
 */
export function mutateBytes(
  valid: ReadonlyArray<string | Buffer>,
): fc.Arbitrary<Buffer> {
  const edit: fc.Arbitrary<Edit> = fc.record({
    action: fc.constantFrom('flip', 'insert', 'delete', 'repeat'),
    position: fc.double({min: 0, max: 1, noNaN: true}),
    bytes: fc.uint8Array({minLength: 1, maxLength: MAX_EDIT_BYTES}),
  });
  return fc
    .tuple(fc.constantFrom(...valid), fc.array(edit, {maxLength: MAX_EDITS}))
    .map(([text, edits]) => edits.reduce(applyEdit, Buffer.from(text)));
}
