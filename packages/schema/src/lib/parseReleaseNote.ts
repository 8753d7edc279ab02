import {LineCounter, isNode, parseDocument} from 'yaml';
import type {Document} from 'yaml';
import type {z} from 'zod';
import {ReleaseNote, releaseNoteSchema} from './releaseNote.js';
import {SycamoreheadError} from './SycamoreheadError.js';

/** Maximum length of a note's text, in UTF-16 code units. */
const MAX_NOTE_LENGTH = 4 * 1024 * 1024;
/** Limit on YAML aliases, whose expansion could otherwise grow exponentially. */
const MAX_ALIASES = 100;
const MAX_PROBLEMS_SHOWN = 20;

interface NoteProblem {
  readonly line: number;
  readonly field: string;
  readonly message: string;
}

function findLine(
  document: Document,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let depth = path.length; depth >= 0; depth--) {
    const node = document.getIn(path.slice(0, depth), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

function formatField(path: readonly PropertyKey[]): string {
  return path
    .map(part => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}

function describeIssue(
  issue: z.core.$ZodIssue,
  document: Document,
  lines: LineCounter,
): NoteProblem {
  return {
    line: findLine(document, lines, issue.path),
    field: formatField(issue.path) || 'note',
    message: issue.message,
  };
}

function rejectNote(problems: readonly NoteProblem[]): never {
  const text = problems
    .slice(0, MAX_PROBLEMS_SHOWN)
    .map(({line, field, message}) => `line ${line}: ${field}: ${message}`)
    .join('\n');
  throw new SycamoreheadError('note_invalid', text, {
    field: problems[0]?.field,
  });
}

/**
 * Parses and validates a release note written in YAML.
 *
 * @throws SycamoreheadError `note_invalid`; the message has one line for each problem, with its
 * line number, its field and the expected form.
 * @example
 * ```ts
 * parseReleaseNote('number: 1\nfollows: 0\n').number; // 1
 * ```
 * @public
 */
export function parseReleaseNote(text: string): ReleaseNote {
  if (text.length > MAX_NOTE_LENGTH) {
    throw new SycamoreheadError(
      'note_invalid',
      `note: expected at most ${MAX_NOTE_LENGTH} characters`,
    );
  }
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    rejectNote(
      document.errors.map(error => ({
        line: lines.linePos(error.pos[0]).line,
        field: 'note',
        message: error.message.split('\n')[0] ?? error.code,
      })),
    );
  }
  const parsed = releaseNoteSchema.safeParse(readPlainValue(document));
  if (parsed.success) return parsed.data;
  return rejectNote(
    parsed.error.issues.map(issue => describeIssue(issue, document, lines)),
  );
}

function readPlainValue(document: Document): unknown {
  try {
    return document.toJS({maxAliasCount: MAX_ALIASES});
  } catch (error) {
    throw new SycamoreheadError('note_invalid', String(error), {cause: error});
  }
}
