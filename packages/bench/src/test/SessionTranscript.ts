import assert from 'node:assert/strict';
import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {request} from 'undici';

/** Resolves to the golden folder of the package from both `src/test` and `dist/test`. */
const GOLDEN_FOLDER = path.resolve(import.meta.dirname, '../../golden');

const RECORDED_HEADERS = [
  'content-type',
  'retry-after',
  'sycamorehead-request-id',
  'sycamorehead-model',
  'sycamorehead-version',
  'sycamorehead-revision',
  'sycamorehead-replayed',
  'sycamorehead-session-ended-version',
];

/** One call of a session. */
export interface SessionCall {
  readonly title: string;
  readonly url: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
}

/**
 * Records a session as its caller and operator see it, replaces identifiers, digests and addresses
 * by stable placeholders, and compares the result with a golden file.
 */
export class SessionTranscript {
  private readonly lines: string[] = [];
  private readonly placeholders = new Map<string, string>();

  /** Replaces a value by a placeholder wherever it appears. */
  replaceValue(value: string, placeholder: string): void {
    this.placeholders.set(value, placeholder);
  }

  /** Appends a line. */
  addLine(text: string): void {
    this.lines.push(text);
  }

  /** Makes a call and records the request and the complete answer. */
  async recordCall(call: SessionCall): Promise<string> {
    const text =
      typeof call.body === 'string' ? call.body : JSON.stringify(call.body);
    this.addLine(`## ${call.title}`);
    this.addLine(`> ${call.method ?? 'GET'} ${call.url}`);
    if (text !== undefined) this.addLine(`> ${text}`);
    const {statusCode, headers, body} = await request(call.url, {
      method: (call.method ?? 'GET') as 'GET',
      headers: call.headers,
      body: text,
    });
    const answer = await body.text();
    this.addLine(`< ${statusCode}`);
    for (const name of RECORDED_HEADERS) {
      if (headers[name]) this.addLine(`< ${name}: ${headers[name]}`);
    }
    for (const line of answer.split('\n')) {
      if (line !== '') this.addLine(`< ${line}`);
    }
    return answer;
  }

  /** Returns the transcript with values replaced by their placeholders. */
  format(): string {
    let text = this.lines.join('\n') + '\n';
    for (const [value, placeholder] of this.placeholders)
      text = text.replaceAll(value, placeholder);
    const requestPlaceholders = new Map<string, string>();
    return text.replace(/req-[0-9a-f-]{36}/g, id => {
      if (!requestPlaceholders.has(id))
        requestPlaceholders.set(id, `REQUEST-${requestPlaceholders.size + 1}`);
      return requestPlaceholders.get(id)!;
    });
  }

  /** Compares the transcript with a golden file; UPDATE_GOLDEN=1 writes the file instead. */
  compareWithGolden(name: string): void {
    const file = path.join(GOLDEN_FOLDER, `${name}.txt`);
    if (process.env.UPDATE_GOLDEN === '1') {
      mkdirSync(GOLDEN_FOLDER, {recursive: true});
      writeFileSync(file, this.format());
    }
    assert.ok(existsSync(file), `${file} is missing; run with UPDATE_GOLDEN=1`);
    assert.equal(this.format(), readFileSync(file, 'utf8'));
  }
}
