import fc from 'fast-check';
import {
  EMPTY_CONFIGURATION,
  SycamoreheadError,
  applyReleaseNote,
  parseReleaseNote,
} from '@sycamorehead/schema';
import {DEMO_NOTE} from '../demoNote.js';
import type {FuzzTarget} from './fuzzTypes.js';
import {mutateBytes} from './mutateBytes.js';

const HASH = `sha256:${'0'.repeat(64)}`;

/** Regression cases: release notes that made the parser fail. */
const REGRESSION_CASES = [
  '',
  '&a [*a]',
  'a: &a [x]\nb: &b [*a,*a]\nc: &c [*b,*b]\n',
  '? {}\n: 1\n',
  'number: 1\nnumber: 2\nfollows: 0\n',
  'add: {versions: {__proto__: 1}}\n',
  '%YAML 9.9\n---\nnumber: !!binary x\n',
];

function checkNote(text: string): void {
  try {
    applyReleaseNote(EMPTY_CONFIGURATION, parseReleaseNote(text));
  } catch (error) {
    const isExpected =
      error instanceof SycamoreheadError && error.kind === 'note_invalid';
    if (!isExpected) throw error;
  }
}

/** Fuzzes the parsing and the application of release notes. @internal */
export const fuzzReleaseNote: FuzzTarget = async ({seed, cases, budgetMs}) => {
  const valid = mutateBytes([DEMO_NOTE.replace('KEY_HASH', HASH)]).map(bytes =>
    bytes.toString('utf8'),
  );
  fc.assert(fc.property(fc.oneof(valid, fc.string(), fc.json()), checkNote), {
    seed,
    numRuns: cases,
    interruptAfterTimeLimit: budgetMs,
    examples: REGRESSION_CASES.map(text => [text]),
  });
};
