import {ensureBuilt, ensureInstalled, findTests, run} from './ensure.mjs';

const TEST_CONCURRENCY = 4;
const TEST_TIMEOUT_MS = 120_000;

ensureInstalled();
ensureBuilt();
const filter = process.argv[2];
const tests = findTests().filter(file => !filter || file.includes(filter));
if (tests.length === 0) {
  console.error('no tests found');
  process.exit(1);
}
const status = run('node', [
  '--test',
  `--test-concurrency=${TEST_CONCURRENCY}`,
  `--test-timeout=${TEST_TIMEOUT_MS}`,
  ...tests,
]);
process.exit(status);
