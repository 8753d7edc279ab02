import type {Experiment} from '../experimentTypes.js';
import {measureControlSlopes} from '../slopes/measureControlSlopes.js';
import {measureEntrySlopes} from '../slopes/measureEntrySlopes.js';
import {measureMembershipSlopes} from '../slopes/measureMembershipSlopes.js';
import type {Slope} from '../slopes/slopeTypes.js';

/** Lease renewals per second assumed for one entry, which without changes renews every 750 ms. */
const RENEWALS_PER_SECOND = 2;
const MS_PER_SECOND = 1_000;
const MAX_CORE_SHARE = 0.015;
const MAX_BYTES_PER_SECOND = 2_048;

function findSlope(slopes: readonly Slope[], name: string): number {
  const slope = slopes.find(candidate => candidate.name === name);
  if (!slope) throw new Error(`slope ${name} was not measured`);
  return slope.perUnit;
}

/** Measures the cost of one additional unit of load; input of the capacity page. @internal */
export const slopes: Experiment = {
  summary: 'cost of one more request, token, server, session, bill, renewal',
  async run({seed}) {
    const measured = [
      ...(await measureMembershipSlopes()),
      ...(await measureControlSlopes()),
      ...(await measureEntrySlopes()),
    ];
    const renewalMs = findSlope(measured, 'lease.renewalProcessor');
    const share = (renewalMs * RENEWALS_PER_SECOND) / MS_PER_SECOND;
    const bytes =
      findSlope(measured, 'lease.renewalBytes') * RENEWALS_PER_SECOND;
    return {
      experiment: 'slopes',
      seed,
      baseline: {},
      candidate: {slopes: measured},
      targets: [
        {
          name: 'core share of lease renewals, both ends',
          target: `<= ${MAX_CORE_SHARE} of a core for control as a whole`,
          value: share,
          met: share <= MAX_CORE_SHARE,
        },
        {
          name: 'bytes a second of lease renewals',
          target: `<= ${MAX_BYTES_PER_SECOND} bytes/s for control as a whole`,
          value: bytes,
          met: bytes <= MAX_BYTES_PER_SECOND,
        },
      ],
    };
  },
};
