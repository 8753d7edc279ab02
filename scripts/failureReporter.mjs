// Reporter of node:test that writes a line of JSON for each failed test, each file whose tests did not all end, and
// the end of the run.
import path from 'node:path';
import {ROOT} from './ensure.mjs';

function formatLine(file, name) {
  return `${JSON.stringify({file: path.relative(ROOT, file ?? ROOT), name})}\n`;
}

export default async function* reportFailures(events) {
  const openTests = new Map();
  for await (const {type, data} of events) {
    const {file, name, details, todo} = data;
    const open = openTests.get(file) ?? 0;
    if (type === 'test:enqueue') openTests.set(file, open + 1);
    if (type === 'test:complete') openTests.set(file, open - 1);
    if (type === 'test:fail' && todo === undefined)
      yield formatLine(file, name);
    // A process that is ended reports only the failures of its tests until then.
    const {exitCode = 1, signal} = details?.error ?? {};
    if (type === 'test:complete' && (exitCode !== 1 || signal)) {
      yield formatLine(file, `ended with ${signal ?? exitCode}`);
    }
  }
  for (const [file, open] of openTests) {
    if (open > 0) yield formatLine(file, `${open} tests did not end`);
  }
  yield `${JSON.stringify({isEnd: true})}\n`;
}
