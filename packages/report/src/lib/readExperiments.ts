import {existsSync, readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {z} from 'zod';
import type {SavedExperiment} from './buildReport.js';

const experimentSchema = z.object({
  experiment: z.string(),
  seed: z.number(),
  targets: z.array(
    z.object({
      name: z.string(),
      target: z.union([z.string(), z.number()]).transform(String),
      value: z.number().nullable(),
      met: z.boolean(),
    }),
  ),
});

/**
 * Reads the saved results of experiments; skips files that do not have the expected form.
 *
 * @example
 * ```ts
 * readExperiments('bench-results').map(({experiment}) => experiment);
 * ```
 * @public
 */
export function readExperiments(folder: string): SavedExperiment[] {
  if (!existsSync(folder)) return [];
  return readdirSync(folder)
    .filter(file => file.endsWith('.json'))
    .sort()
    .flatMap(file => {
      const text = readFileSync(path.join(folder, file), 'utf8');
      const parsed = experimentSchema.safeParse(parseJson(text));
      return parsed.success ? [parsed.data] : [];
    });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
