import type {z} from 'zod';
import type {ErrorKind} from './errorKinds.js';
import {SycamoreheadError} from './SycamoreheadError.js';

/**
 * Validates untrusted input against a schema.
 *
 * @param inputName Name of the whole input, used for errors that concern no single field.
 * @throws SycamoreheadError of the given kind, naming the first invalid field.
 * @example
 * ```ts
 * validateInput(z.object({a: z.number()}), {a: 1}, 'malformed_request', 'body').a; // 1
 * ```
 * @public
 */
export function validateInput<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  kind: ErrorKind,
  inputName: string,
): z.infer<Schema> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') || inputName;
  throw new SycamoreheadError(
    kind,
    `${field}: ${issue?.message ?? 'invalid'}`,
    {
      field,
    },
  );
}
