import type {CapacityInputs} from './readCapacityInputs.js';
import type {TargetSize} from './targetSize.js';

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
/** Lease renewals of an entry in a second; the interval is 750 ms. */
const RENEWALS_PER_SECOND = 1_000 / 750;
/** Messages of a change besides the delta's own bytes: envelope, fields, digest. */
const CHANGE_MESSAGES = 2;

/** One line of a role's budget. @public */
export interface BudgetLine {
  readonly what: string;
  readonly amount: number;
  readonly unit: string;
  readonly working: string;
}

/** Reads a slope, which must have been measured. @internal */
export function getSlope(inputs: CapacityInputs, name: string): number {
  const slope = inputs.slopes[name];
  if (slope === undefined) throw new Error(`slope ${name} is missing`);
  return slope;
}

/** Configuration changes in a second. @internal */
export function getChangesPerSecond(size: TargetSize): number {
  return size.changesPerDay / SECONDS_PER_DAY;
}

/** Work that callers give one entry. @internal */
export function computeEntryTraffic(
  inputs: CapacityInputs,
  size: TargetSize,
): BudgetLine[] {
  const requests = size.requestsPerSecond / size.nodes;
  const tokens = size.tokensPerSecond / size.nodes;
  const requestMs = getSlope(inputs, 'entry.requestProcessor');
  const tokenMs = getSlope(inputs, 'entry.tokenProcessor');
  const tokensPerAnswer = size.tokensPerSecond / size.requestsPerSecond;
  const answerSeconds =
    (tokensPerAnswer * size.betweenTokensMs) / MS_PER_SECOND;
  const streams = requests * answerSeconds;
  const streamBytes = getSlope(inputs, 'entry.streamMemory');
  return [
    {
      what: 'requests',
      amount: requests,
      unit: '/s',
      working: `${size.requestsPerSecond} / ${size.nodes}`,
    },
    {
      what: 'tokens',
      amount: tokens,
      unit: '/s',
      working: `${size.tokensPerSecond} / ${size.nodes}`,
    },
    {
      what: 'processor',
      amount: (requests * requestMs + tokens * tokenMs) / MS_PER_SECOND,
      unit: 'cores',
      working: `requests × ${requestMs.toFixed(3)} ms + tokens × ${tokenMs.toFixed(4)} ms`,
    },
    {
      what: 'open streams',
      amount: streams,
      unit: '',
      working: `requests × ${tokensPerAnswer.toFixed(0)} tokens an answer × ${size.betweenTokensMs} ms`,
    },
    {
      what: 'memory of open streams',
      amount: (streams * streamBytes) / 1e6,
      unit: 'MB',
      working: `streams × ${streamBytes.toFixed(0)} bytes`,
    },
  ];
}

/** What control costs one entry. @internal */
export function computeEntryControl(
  inputs: CapacityInputs,
  size: TargetSize,
): BudgetLine[] {
  const changes = getChangesPerSecond(size);
  const customers = size.assumedCustomers;
  const renewalBytes =
    RENEWALS_PER_SECOND * getSlope(inputs, 'lease.renewalBytes');
  const deltaBytes =
    changes * CHANGE_MESSAGES * getSlope(inputs, 'configuration.customerBytes');
  const largest = inputs.membership.costs.at(-1);
  const beatBytes = largest?.sentAndReceivedBytesPerSecond ?? 0;
  const beatShare = (largest?.cpuPercent ?? 0) / 100;
  const renewalShare =
    (RENEWALS_PER_SECOND * getSlope(inputs, 'lease.renewalProcessor')) /
    MS_PER_SECOND;
  const applyMs = customers * getSlope(inputs, 'configuration.applyProcessor');
  const serverBytes = getSlope(inputs, 'membership.serverMemory');
  const configurationBytes =
    customers * getSlope(inputs, 'configuration.customerBytes');
  return [
    {
      what: 'bytes, leases',
      amount: renewalBytes,
      unit: 'B/s',
      working: `${RENEWALS_PER_SECOND.toFixed(2)} renewals/s`,
    },
    {
      what: 'bytes, configuration changes',
      amount: deltaBytes,
      unit: 'B/s',
      working: `${changes.toFixed(2)} changes/s, a delta and its confirmation`,
    },
    {
      what: 'bytes, backend servers',
      amount: beatBytes,
      unit: 'B/s',
      working: `measured at ${largest?.servers ?? 0} servers, ${largest?.held ?? 0} held in detail, among 8 entries`,
    },
    {
      what: 'processor, leases and backend servers',
      amount: renewalShare + beatShare,
      unit: 'cores',
      working: 'both ends of a renewal, and the measured share of membership',
    },
    {
      what: 'processor, configuration changes',
      amount: (changes * applyMs) / MS_PER_SECOND,
      unit: 'cores',
      working: `${changes.toFixed(2)} changes/s × ${applyMs.toFixed(1)} ms at ${customers} customers: the digest reads the whole configuration`,
    },
    {
      what: 'memory, configuration and servers',
      amount:
        (configurationBytes * 3 + (largest?.held ?? 0) * serverBytes) / 1e6,
      unit: 'MB',
      working: `${customers} customers, three times their JSON; ${largest?.held ?? 0} servers × ${serverBytes.toFixed(0)} bytes`,
    },
  ];
}
