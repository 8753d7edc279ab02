import type {RolloutStatus} from '@sycamorehead/control';

/**
 * Formats the progress of a version's roll-out as one line.
 *
 * @example
 * ```ts
 * formatRollout(status); // 'rollout=large/v2 state=rolling_out step=1/3 …'
 * ```
 * @internal
 */
export function formatRollout(rollout: RolloutStatus): string {
  const {model, version, state, step, steps, share} = rollout;
  const {declared, wanted, serving, loading, waitsFor} = rollout;
  const position = steps > 0 ? `${step + 1}/${steps}` : '-';
  return [
    `rollout=${model}/${version}`,
    `state=${state}`,
    `step=${position}`,
    `share=${share}`,
    `serving=${serving}/${wanted}`,
    `loading=${loading}`,
    `declared=${declared}`,
    `waits_for=${waitsFor}`,
  ].join(' ');
}
