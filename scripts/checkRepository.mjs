// Checks the files of the repository: no download addresses, no machine-specific paths, no files under given/, a
// CONTEXT.md in every package. Prints the known failures.
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';

const problems = [];
const files = execFileSync('git', ['ls-files'], {encoding: 'utf8'})
  .split('\n')
  .filter(Boolean);

// The patterns are built from parts so that this file does not match them.
const MACHINE_PATH = new RegExp(['/wo', 'rk/(main|given|shared)'].join(''));
const DOWNLOAD_ADDRESS = new RegExp('"resolved": "' + 'https?:');

for (const file of files) {
  if (!existsSync(file)) continue;
  const text = readFileSync(file, 'utf8');
  if (MACHINE_PATH.test(text))
    problems.push(`${file}: contains a machine-specific path`);
  if (DOWNLOAD_ADDRESS.test(text))
    problems.push(`${file}: contains a download address`);
  if (file.startsWith('given/'))
    problems.push(`${file}: files under given/ must not be committed`);
}
for (const name of readdirSync('packages')) {
  if (!existsSync(`packages/${name}/CONTEXT.md`)) {
    problems.push(`packages/${name}: CONTEXT.md is missing`);
  }
}
if (existsSync('KNOWN-RED.txt')) {
  const text = readFileSync('KNOWN-RED.txt', 'utf8').trim();
  if (text) console.log(`known failures:\n${text}`);
}
for (const problem of problems) console.error(problem);
process.exit(problems.length === 0 ? 0 : 1);
