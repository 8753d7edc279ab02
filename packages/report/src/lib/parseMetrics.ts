/** One sample of a metrics page. @public */
export interface MetricValue {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const LINE = /^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? (\S+)$/;
const LABEL = /([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"/g;
const ESCAPED = /\\(.)/g;

function parseLabels(text: string): Record<string, string> {
  const labels: Record<string, string> = {};
  for (const [, name = '', value = ''] of text.matchAll(LABEL)) {
    labels[name] = value.replace(ESCAPED, (unused, character: string) =>
      character === 'n' ? '\n' : character,
    );
  }
  return labels;
}

/**
 * Parses a page in the Prometheus text format; skips comments and lines that are not samples.
 *
 * @example
 * ```ts
 * parseMetrics('up{entry="e1"} 1\n'); // [{name: 'up', labels: {entry: 'e1'}, value: 1}]
 * ```
 * @public
 */
export function parseMetrics(page: string): MetricValue[] {
  const values: MetricValue[] = [];
  for (const line of page.split('\n')) {
    if (line === '' || line.startsWith('#')) continue;
    const [, name, labels = '', text = ''] = LINE.exec(line) ?? [];
    const value = Number(text.replace('+Inf', 'Infinity'));
    if (!name || Number.isNaN(value)) continue;
    values.push({name, labels: parseLabels(labels), value});
  }
  return values;
}
