import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {z} from 'zod';

const slopesSchema = z.object({
  candidate: z.object({
    slopes: z.array(
      z.object({name: z.string(), unit: z.string(), perUnit: z.number()}),
    ),
  }),
});

const membershipSchema = z.object({
  candidate: z.object({
    bytesSlope: z.number(),
    costs: z.array(
      z.object({
        servers: z.number(),
        sentAndReceivedBytesPerSecond: z.number(),
        cpuPercent: z.number(),
        held: z.number(),
      }),
    ),
  }),
});

const configSchema = z.object({
  targets: z.array(
    z.object({
      name: z.string(),
      target: z.string(),
      value: z.number().nullable(),
      met: z.boolean(),
    }),
  ),
});

/** Results of experiments from which the capacity page is computed. @public */
export interface CapacityInputs {
  /** Cost of one additional unit, by name of slope. */
  readonly slopes: Readonly<Record<string, number>>;
  /** Unit of the cost, by name of slope. */
  readonly units: Readonly<Record<string, string>>;
  readonly membership: z.infer<typeof membershipSchema>['candidate'];
  /** Empty if there are no results of `config`; the page then says `not measured`. */
  readonly config: z.infer<typeof configSchema>['targets'];
}

function readResultFile<Schema extends z.ZodType>(
  folder: string,
  name: string,
  schema: Schema,
): z.infer<Schema> {
  const file = path.join(folder, `${name}.json`);
  if (!existsSync(file)) {
    throw new Error(
      `${file} is missing: run 'npm run bench -- ${name}', then 'npm run capacity -- --update'`,
    );
  }
  return schema.parse(JSON.parse(readFileSync(file, 'utf8')));
}

/**
 * Reads the committed results of the experiments behind the capacity page.
 *
 * @example
 * ```ts
 * readCapacityInputs('docs/capacity').slopes['entry.requestProcessor'];
 * ```
 * @public
 */
export function readCapacityInputs(folder: string): CapacityInputs {
  const {candidate} = readResultFile(folder, 'slopes', slopesSchema);
  return {
    slopes: Object.fromEntries(
      candidate.slopes.map(({name, perUnit}) => [name, perUnit]),
    ),
    units: Object.fromEntries(
      candidate.slopes.map(({name, unit}) => [name, unit]),
    ),
    membership: readResultFile(folder, 'membership', membershipSchema)
      .candidate,
    config: existsSync(path.join(folder, 'config.json'))
      ? readResultFile(folder, 'config', configSchema).targets
      : [],
  };
}
