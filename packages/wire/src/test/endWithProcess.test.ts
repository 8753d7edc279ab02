import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

const TESTING = path.resolve(import.meta.dirname, '../testing/index.js');
const POLL_MS = 20;
/** Starts a program that runs on, tells its id, and runs on too. */
const SCRIPT = `
  import {spawn} from 'node:child_process';
  import {endWithProcess} from ${JSON.stringify(TESTING)};
  const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
  endWithProcess(child);
  console.log(child.pid);
  setInterval(() => {}, 1000);
`;

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

test('the programs of a test that is ended by a signal end with it', async () => {
  const options = ['--input-type=module', '-e', SCRIPT];
  const parent = spawn(process.execPath, options, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [text] = (await once(parent.stdout, 'data')) as [Buffer];
  const pid = Number(text.toString());
  assert.ok(isAlive(pid));
  const ended = once(parent, 'exit');
  parent.kill('SIGTERM');
  const [code] = (await ended) as [number];
  assert.equal(code, 143);
  while (isAlive(pid)) await sleep(POLL_MS);
});
