import {copyFileSync, existsSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {readCapacityInputs} from './readCapacityInputs.js';
import {renderCapacity} from './renderCapacity.js';
import {TARGET_SIZE} from './targetSize.js';

/** Experiments whose results the page is computed from. */
const PAGE_EXPERIMENTS = ['slopes', 'membership', 'config'];

/**
 * Regenerates the capacity page.
 *
 * @param resultsFolder If given, the latest results of seed 1 are first copied from this folder.
 * @example
 * ```ts
 * updateCapacityPage('docs', 'bench-results');
 * ```
 * @public
 */
export function updateCapacityPage(
  docsFolder: string,
  resultsFolder?: string,
): void {
  const inputsFolder = path.join(docsFolder, 'capacity');
  for (const name of resultsFolder ? PAGE_EXPERIMENTS : []) {
    const result = path.join(resultsFolder ?? '', `${name}-1.json`);
    if (!existsSync(result)) continue;
    copyFileSync(result, path.join(inputsFolder, `${name}.json`));
  }
  const page = renderCapacity(readCapacityInputs(inputsFolder), TARGET_SIZE);
  writeFileSync(path.join(docsFolder, 'CAPACITY.md'), page);
}
