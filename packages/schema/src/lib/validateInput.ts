import type {z} from 'zod';
import type {ErrorKind} from './errorKinds.js';
import {SycamoreheadError} from './SycamoreheadError.js';

/**
 * Validates a value from outside with a schema.
 *
 * @param whole Name of the value, for problems that concern no single field.
 * @throws SycamoreheadError of the given kind, naming the first field that is wrong.
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
  whole: string,
): z.infer<Schema> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') || whole;
  throw new SycamoreheadError(
    kind,
    `${field}: ${issue?.message ?? 'invalid'}`,
    {
      field,
    },
  );
}
