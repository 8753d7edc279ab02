import type {BurnPoint} from './buildReport.js';

const WIDTH = 720;
const HEIGHT = 220;
const LEFT = 44;
const RIGHT = 12;
const TOP = 12;
const BOTTOM = 28;
const TICKS = 4;

/** One line of a chart; lines differ in their dash pattern, not in colour. */
interface ChartLine {
  readonly name: string;
  readonly dash: string;
  readonly getValue: (point: BurnPoint) => number;
}

const LINES: readonly ChartLine[] = [
  {
    name: 'availability',
    dash: '',
    getValue: point => point.availabilityBurn,
  },
  {
    name: 'first token',
    dash: '6 4',
    getValue: point => point.firstTokenBurn,
  },
];

/**
 * Renders the burn over time as an SVG image.
 *
 * @example
 * ```ts
 * renderChart(report.history).startsWith('<svg'); // true
 * ```
 * @public
 */
export function renderChart(points: readonly BurnPoint[]): string {
  const first = points[0]?.at ?? 0;
  const last = points.at(-1)?.at ?? 1;
  const maxBurn = Math.max(
    1,
    ...points.flatMap(point => LINES.map(({getValue}) => getValue(point))),
  );
  const computeX = (at: number) =>
    LEFT + ((at - first) / Math.max(last - first, 1)) * (WIDTH - LEFT - RIGHT);
  const computeY = (burn: number) =>
    HEIGHT - BOTTOM - (burn / maxBurn) * (HEIGHT - TOP - BOTTOM);
  const ticks = Array.from({length: TICKS + 1}, (unused, index) => {
    const burn = (maxBurn * index) / TICKS;
    const y = computeY(burn).toFixed(1);
    return (
      `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}" class="grid"/>` +
      `<text x="${LEFT - 6}" y="${y}" text-anchor="end" dominant-baseline="middle">${burn.toFixed(1)}</text>`
    );
  });
  const lines = LINES.map(({name, dash, getValue}) => {
    const path = points
      .map(
        point =>
          `${computeX(point.at).toFixed(1)},${computeY(getValue(point)).toFixed(1)}`,
      )
      .join(' ');
    return `<polyline points="${path}" stroke-dasharray="${dash}" class="line"><title>${name}</title></polyline>`;
  });
  const legend = LINES.map(
    ({name, dash}, index) =>
      `<line x1="${LEFT + index * 150}" x2="${LEFT + 30 + index * 150}" y1="${HEIGHT - 8}" y2="${HEIGHT - 8}" stroke-dasharray="${dash}" class="line"/>` +
      `<text x="${LEFT + 36 + index * 150}" y="${HEIGHT - 8}" dominant-baseline="middle">${name}</text>`,
  );
  return (
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="Burn over time">` +
    [...ticks, ...lines, ...legend].join('') +
    '</svg>'
  );
}
