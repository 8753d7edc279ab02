import type {ServiceReport} from './buildReport.js';

function formatBurn(burn: number | undefined): string {
  return burn === undefined ? '-' : burn.toFixed(2);
}

/**
 * Renders a report as lines of key=value pairs.
 *
 * @example
 * ```ts
 * process.stdout.write(renderText(report));
 * ```
 * @public
 */
export function renderText(report: ServiceReport): string {
  const lines = [
    `report at=${new Date(report.at).toISOString()} entries=${report.entries.length} availability=${report.objectives.availability} first_token_s=${report.objectives.firstTokenSeconds}`,
    ...report.burn.map(
      row =>
        `burn window=${row.window} customer=${row.customer} kind=${row.kind} answered=${row.answered} failed=${row.failed} availability=${formatBurn(row.availabilityBurn)} first_token=${formatBurn(row.firstTokenBurn)} alert=${row.isAlerting ? 'yes' : 'no'}`,
    ),
    ...report.cost.map(
      row =>
        `cost customer=${row.customer} item=${row.item} amount_micros=${row.amountMicros}`,
    ),
    ...report.refusals.map(
      row =>
        `refused customer=${row.customer} outcome=${row.outcome} count=${row.count}`,
    ),
    ...report.exposure.map(
      row =>
        `exposure version=${row.version} answers=${row.answers} reason=${JSON.stringify(row.reason)}`,
    ),
    ...report.rollouts.map(
      row =>
        `rollout version=${row.version} state=${row.state} step=${row.step || '-'} since=${row.since ?? '-'} reason=${JSON.stringify(row.reason)}`,
    ),
    ...report.experiments.flatMap(({experiment, seed, targets}) =>
      targets.map(
        target =>
          `experiment name=${experiment} seed=${seed} target=${JSON.stringify(target.name)} bound=${JSON.stringify(target.target)} value=${target.value} met=${target.met ? 'yes' : 'no'}`,
      ),
    ),
  ];
  return lines.join('\n') + '\n';
}
