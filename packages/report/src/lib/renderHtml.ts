import type {ServiceReport} from './buildReport.js';
import {renderChart} from './renderChart.js';

const STYLE = `
:root{color-scheme:light}
body{font:16px/1.5 system-ui,sans-serif;margin:0 auto;padding:1rem;max-width:60rem;color:#000;background:#fff}
h1{font-size:1.4rem}h2{font-size:1.15rem;margin-top:2rem;border-bottom:1px solid #000}
.wide{overflow-x:auto}
table{border-collapse:collapse;min-width:100%;font-size:.9rem}
th,td{text-align:left;padding:.25rem .6rem;border-bottom:1px solid #999;white-space:nowrap}
td.number,th.number{text-align:right;font-variant-numeric:tabular-nums}
tr.alert td{font-weight:bold;background:#eee}
svg{width:100%;height:auto;font-size:12px}
svg .grid{stroke:#bbb;stroke-width:1}
svg .line{fill:none;stroke:#000;stroke-width:2}
p.none{font-style:italic}`;

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function encodeHtml(text: string): string {
  return text.replace(/[&<>"]/g, character => ENTITIES[character] ?? '');
}

type Cell = string | number | undefined;

interface TableRow {
  readonly cells: readonly Cell[];
  readonly isAlert?: boolean;
}

function renderCell(cell: Cell, tag: 'td' | 'th'): string {
  if (typeof cell === 'number') {
    const text = Number.isInteger(cell) ? String(cell) : cell.toFixed(2);
    return `<${tag} class="number">${text}</${tag}>`;
  }
  return `<${tag}>${encodeHtml(cell ?? '–')}</${tag}>`;
}

function renderTable(
  title: string,
  headings: readonly string[],
  rows: readonly TableRow[],
): string {
  if (rows.length === 0) {
    return `<h2>${title}</h2><p class="none">None.</p>`;
  }
  const head = headings.map(text => renderCell(text, 'th')).join('');
  const body = rows
    .map(({cells, isAlert}) => {
      const row = cells.map(cell => renderCell(cell, 'td')).join('');
      return `<tr${isAlert ? ' class="alert"' : ''}>${row}</tr>`;
    })
    .join('');
  return `<h2>${title}</h2><div class="wide"><table><thead><tr>${head}</tr></thead><tbody>${body}</tbody></table></div>`;
}

function renderBurn(report: ServiceReport): string {
  return renderTable(
    'Burn by customer and kind',
    [
      'window',
      'customer',
      'kind',
      'availability',
      'first token',
      'answered',
      'failed',
      'alert',
    ],
    report.burn.map(row => ({
      isAlert: row.isAlerting,
      cells: [
        row.window,
        row.customer,
        row.kind,
        row.availabilityBurn,
        row.firstTokenBurn,
        row.answered,
        row.failed,
        row.isAlerting ? 'ALERT' : 'no',
      ],
    })),
  );
}

function renderExperiments(report: ServiceReport): string {
  return renderTable(
    'Experiments',
    ['experiment', 'seed', 'target', 'bound', 'value', 'met'],
    report.experiments.flatMap(({experiment, seed, targets}) =>
      targets.map(({name, target, value, met}) => ({
        isAlert: !met,
        cells: [
          experiment,
          seed,
          name,
          target,
          value ?? undefined,
          met ? 'yes' : 'NO',
        ],
      })),
    ),
  );
}

/**
 * Renders a report as one self-contained HTML page that is readable on a phone and in black and
 * white. Every plotted number also appears in a table.
 *
 * @example
 * ```ts
 * writeFileSync('report.html', renderHtml(report));
 * ```
 * @public
 */
export function renderHtml(report: ServiceReport): string {
  const {objectives} = report;
  const at = new Date(report.at).toISOString();
  const alerts = report.burn.filter(({isAlerting}) => isAlerting).length;
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width,initial-scale=1">',
    `<title>Service-level burn ${at}</title><style>${STYLE}</style></head><body>`,
    `<h1>Service-level burn</h1><p>${at}, ${report.entries.length} entries, ${alerts} alerts.`,
    ` Objectives: ${objectives.availability * 100}% of requests answered whole;`,
    ` first token within ${objectives.firstTokenSeconds} s for ${objectives.firstTokenShare * 100}%.`,
    ' A burn of 1 spends the budget exactly.</p>',
    renderChart(report.history),
    renderBurn(report),
    renderTable(
      'Cost',
      ['customer', 'version or service', 'micro-units'],
      report.cost.map(row => ({
        cells: [row.customer, row.item, row.amountMicros],
      })),
    ),
    renderTable(
      'Refusals and failures',
      ['customer', 'kind of error', 'count'],
      report.refusals.map(row => ({
        cells: [row.customer, row.outcome, row.count],
      })),
    ),
    renderTable(
      'Exposure to quarantined versions',
      ['version', 'answers', 'reason'],
      report.exposure.map(row => ({
        cells: [row.version, row.answers, row.reason],
      })),
    ),
    renderTable(
      'Roll-outs',
      ['version', 'state', 'step', 'since revision', 'reason'],
      report.rollouts.map(row => ({
        isAlert: row.state === 'quarantined',
        cells: [row.version, row.state, row.step, row.since, row.reason],
      })),
    ),
    renderExperiments(report),
    renderTable(
      'Burn over time',
      ['until', 'availability', 'first token'],
      report.history.map(point => ({
        cells: [
          new Date(point.at).toISOString(),
          point.availabilityBurn,
          point.firstTokenBurn,
        ],
      })),
    ),
    '</body></html>\n',
  ].join('\n');
}
