// Reporter of node:test that writes one line of JSON for each failed test.
import path from 'node:path';

export default async function* reportFailures(events) {
  for await (const {type, data} of events) {
    if (type !== 'test:fail' || data.todo !== undefined) continue;
    const file = data.file ? path.basename(data.file) : '';
    yield `${JSON.stringify({file, name: data.name})}\n`;
  }
}
