import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {applyReleaseNote} from '../lib/applyReleaseNote.js';
import {EMPTY_CONFIGURATION} from '../lib/configuration.js';
import {computeDigest} from '../lib/json.js';
import {parseReleaseNote} from '../lib/parseReleaseNote.js';
import {SycamoreheadError} from '../lib/SycamoreheadError.js';

const EXAMPLES = path.resolve(import.meta.dirname, '../../../../examples');

function expectInvalid(text: string, expected: RegExp): void {
  assert.throws(
    () => parseReleaseNote(text),
    (error: unknown) =>
      error instanceof SycamoreheadError &&
      error.kind === 'note_invalid' &&
      expected.test(error.message),
  );
}

test('the example notes are valid and declare 10 customers and 8 replicas', () => {
  for (const name of ['consorcio', 'falaj']) {
    const text = readFileSync(path.join(EXAMPLES, `${name}.yaml`), 'utf8');
    const note = parseReleaseNote(text);
    const configuration = applyReleaseNote(EMPTY_CONFIGURATION, note);
    assert.equal(Object.keys(configuration.customers).length, 10);
    const replicas = note.add.versions.reduce(
      (sum, {replicas}) => sum + replicas,
      0,
    );
    assert.equal(replicas, 8);
  }
});

test('an invalid note is refused with the line, field and expected form', () => {
  expectInvalid(
    'number: 1\nfollows: x\n',
    /line 2: follows: .*expected number/,
  );
  expectInvalid('number: 1\nfollows: 0\nextra: 1\n', /Unrecognized key/);
  expectInvalid('number: 1\nfollows: [\n', /line \d+: note:/);
  expectInvalid(
    'number: 1\nfollows: 0\nwithdraw:\n  versions:\n    - {model: M!, version: v1}\n',
    /line 5: withdraw\.versions\[0\]\.model: expected lower-case/,
  );
});

test('the digest does not depend on the order of keys', () => {
  const left = parseReleaseNote('number: 1\nfollows: 0\nsummary: s\n');
  const right = parseReleaseNote('summary: s\nfollows: 0\nnumber: 1\n');
  assert.equal(computeDigest(left), computeDigest(right));
});

test('a note that contradicts the configuration is refused as a whole', () => {
  const note = parseReleaseNote(
    'number: 1\nfollows: 0\nwithdraw:\n  versions: [{model: m, version: v1}]\n',
  );
  assert.throws(
    () => applyReleaseNote(EMPTY_CONFIGURATION, note),
    /withdraw\.versions: m\/v1 does not exist/,
  );
});

test('a change leaves omitted fields as they are', () => {
  const {change} = parseReleaseNote(`
number: 2
follows: 1
change:
  versions:
    - {model: m, version: v1, inputPrice: 2}
  customers:
    - {customer: a, qualityTarget: 0.5}
`);
  assert.deepEqual(change.customers, [{customer: 'a', qualityTarget: 0.5}]);
  assert.deepEqual(change.versions, [
    {model: 'm', version: 'v1', inputPrice: 2},
  ]);
});
