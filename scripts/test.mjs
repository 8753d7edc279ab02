import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {ROOT, ensureBuilt, ensureInstalled, findTests, run} from './ensure.mjs';
import {checkFailures} from './knownFailures.mjs';

/** Marks tests that overload a process and run one at a time, after the others. */
const CROWD_MARK = '.crowd.test.js';

const TEST_CONCURRENCY = 4;
const TEST_TIMEOUT_MS = 120_000;
const CROWD_TIMEOUT_MS = 600_000;

ensureInstalled();
ensureBuilt();
const filter = process.argv[2];
const tests = findTests().filter(file => !filter || file.includes(filter));
if (tests.length === 0) {
  console.error('no tests found');
  process.exit(1);
}

const reports = mkdtempSync(path.join(os.tmpdir(), 'test-'));
process.on('exit', () => rmSync(reports, {recursive: true, force: true}));

function runTests(files, concurrency, timeoutMs) {
  if (files.length === 0) return 0;
  const report = path.join(reports, `${concurrency}.jsonl`);
  const status = run('node', [
    '--test',
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${timeoutMs}`,
    '--test-reporter=tap',
    '--test-reporter-destination=stdout',
    `--test-reporter=${path.join(ROOT, 'scripts/failureReporter.mjs')}`,
    `--test-reporter-destination=${report}`,
    ...files,
  ]);
  if (status === 0) return 0;
  return checkFailures(report) ? 0 : status;
}

const crowds = tests.filter(file => file.endsWith(CROWD_MARK));
const others = tests.filter(file => !crowds.includes(file));
const statuses = [
  runTests(others, TEST_CONCURRENCY, TEST_TIMEOUT_MS),
  runTests(crowds, 1, CROWD_TIMEOUT_MS),
];
process.exit(Math.max(...statuses));
