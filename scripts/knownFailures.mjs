// Reads which tests KNOWN-RED.txt lists. A listed test may fail without failing the run; its failure is printed.
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {ROOT} from './ensure.mjs';

const LIST = path.join(ROOT, 'KNOWN-RED.txt');
// For example: "  test: platform/dist/test/soak.test.js: a day with roll-outs"
const ENTRY = /^\s*test: (?<file>[^:]+): (?<name>.+)$/;

function buildKey({file, name}) {
  return `${file}: ${name}`;
}

function listKnownFailures() {
  if (!existsSync(LIST)) return new Set();
  const lines = readFileSync(LIST, 'utf8').split('\n');
  const entries = lines.map(line => ENTRY.exec(line)?.groups).filter(Boolean);
  return new Set(entries.map(buildKey));
}

/**
 * Reads the lines of failureReporter.mjs, prints the failures, and returns whether the run has ended and all of them
 * are listed.
 */
export function checkFailures(report) {
  const known = listKnownFailures();
  const lines = readFileSync(report, 'utf8')
    .split('\n')
    .filter(Boolean)
    .map(line => JSON.parse(line));
  const failures = lines.filter(({name}) => name !== undefined).map(buildKey);
  for (const failure of failures) {
    const kind = known.has(failure) ? 'known failure' : 'failure';
    console.log(`${kind}: ${failure}`);
  }
  const isEnded = lines.at(-1)?.isEnd === true;
  const isListed = failures.every(failure => known.has(failure));
  return isEnded && failures.length > 0 && isListed;
}
