import {appendFileSync, existsSync, readFileSync, writeFileSync} from 'node:fs';
import {z} from 'zod';
import {SycamoreheadError} from '@sycamorehead/schema';

const sampleSchema = z.object({
  at: z.number(),
  entry: z.string(),
  values: z.record(z.string(), z.number()),
});

/** The counter values of one entry at one point in time. @public */
export interface Sample {
  /** Wall-clock time in milliseconds. */
  readonly at: number;
  readonly entry: string;
  /** Counter values by series key: `name{label="value",…}` with sorted labels. */
  readonly values: Readonly<Record<string, number>>;
}

/** Age above which samples are dropped when the file is compacted, in milliseconds. */
const RETENTION_MS = 4 * 24 * 60 * 60 * 1_000;
const MAX_SAMPLES = 500_000;

/**
 * Stores samples in a file with one JSON object per line. Reading skips lines that are not valid,
 * such as a last line that was truncated by a crash.
 *
 * @public
 */
export class SampleStore {
  constructor(private readonly file: string) {}

  /** Appends samples. */
  append(samples: readonly Sample[]): void {
    const lines = samples.map(sample => JSON.stringify(sample) + '\n');
    appendFileSync(this.file, lines.join(''));
  }

  /** Drops samples that exceed the retention time or the maximum number. */
  compact(now: number): void {
    const retained = this.read()
      .filter(({at}) => at >= now - RETENTION_MS)
      .slice(-MAX_SAMPLES);
    writeFileSync(this.file, '');
    this.append(retained);
  }

  /**
   * Reads all samples, sorted by time.
   *
   * @throws SycamoreheadError `settings_invalid` if the file does not exist.
   */
  read(): Sample[] {
    if (!existsSync(this.file)) {
      throw new SycamoreheadError(
        'settings_invalid',
        `--store: ${this.file} does not exist; 'collect' creates it`,
      );
    }
    return readFileSync(this.file, 'utf8')
      .split('\n')
      .flatMap(parseSample)
      .sort((left, right) => left.at - right.at);
  }
}

function parseSample(line: string): Sample[] {
  if (line === '') return [];
  try {
    return [sampleSchema.parse(JSON.parse(line))];
  } catch {
    return [];
  }
}
