import {SycamoreheadError} from '@sycamorehead/schema';
import {readFileSync} from 'node:fs';
import {z} from 'zod';

/**
 * Validates settings. The error names the flag of the first invalid setting.
 *
 * @throws SycamoreheadError `settings_invalid`.
 * @example
 * ```ts
 * readSettings(z.object({port: z.number()}), {port: 80}).port; // 80
 * ```
 * @public
 */
export function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  given: unknown,
): z.infer<Schema> {
  const parsed = schema.safeParse(given);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const flag = field.replace(/[A-Z]/g, upper => `-${upper.toLowerCase()}`);
  throw new SycamoreheadError(
    'settings_invalid',
    `--${flag}: ${issue?.message ?? 'invalid'}`,
    {field},
  );
}

/**
 * Reads a secret from the environment variable `NAME` or from the file that `NAME_FILE` names.
 * Secrets are never passed as flags, so that they do not appear in process lists.
 *
 * @throws SycamoreheadError `settings_invalid` if neither or both are set.
 * @example
 * ```ts
 * readSecret('SYC_OPERATOR_TOKEN', {SYC_OPERATOR_TOKEN: 't'}); // 't'
 * ```
 * @public
 */
export function readSecret(
  name: string,
  environment: NodeJS.ProcessEnv = process.env,
): string {
  const value = environment[name];
  const file = environment[`${name}_FILE`];
  if (value && file) {
    throw new SycamoreheadError(
      'settings_invalid',
      `${name} and ${name}_FILE are both set; set one`,
    );
  }
  if (value) return value;
  if (!file) {
    throw new SycamoreheadError(
      'settings_invalid',
      `${name} or ${name}_FILE must be set`,
    );
  }
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (error) {
    throw new SycamoreheadError(
      'settings_invalid',
      `${name}_FILE: cannot read ${file}`,
      {cause: error},
    );
  }
}

/**
 * Reads an optional secret. Returns undefined if it is not set.
 *
 * @throws SycamoreheadError `settings_invalid` if both forms are set or the file cannot be read.
 * @example
 * ```ts
 * readOptionalSecret('SYC_DEBUG_KEY', {}); // undefined
 * ```
 * @public
 */
export function readOptionalSecret(
  name: string,
  environment: NodeJS.ProcessEnv = process.env,
): string | undefined {
  const isSet = environment[name] || environment[`${name}_FILE`];
  return isSet ? readSecret(name, environment) : undefined;
}
