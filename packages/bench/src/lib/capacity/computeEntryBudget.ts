import type {CapacityInputs} from './readCapacityInputs.js';
import type {TargetSize} from './targetSize.js';

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;
/** Lease renewals per second of one entry, which renews every 750 ms. */
const RENEWALS_PER_SECOND = 1_000 / 750;
/**
 * Messages per change: the delta and its confirmation. Each is estimated, with its envelope, fields
 * and digest, at the bytes of one customer.
 */
const CHANGE_MESSAGES = 2;

/** One line of the load budget of a role. @public */
export interface BudgetLine {
  readonly quantity: string;
  /** `NaN` if the figures behind it were not measured. */
  readonly amount: number;
  readonly unit: string;
  /** The calculation behind the amount, as printed on the capacity page. */
  readonly derivation: string;
}

/** Returns the cost per unit of a slope; throws if the results lack it. @internal */
export function getSlope(inputs: CapacityInputs, name: string): number {
  const slope = inputs.slopes[name];
  if (slope === undefined)
    throw new Error(`slope ${name} is missing from the results`);
  return slope;
}

/** Returns the configuration changes per second. @internal */
export function getChangesPerSecond(size: TargetSize): number {
  return size.changesPerDay / SECONDS_PER_DAY;
}

/** Computes the load that callers put on one entry. @internal */
export function computeEntryTrafficBudget(
  inputs: CapacityInputs,
  size: TargetSize,
): BudgetLine[] {
  const requests = size.requestsPerSecond / size.nodes;
  const tokens = size.tokensPerSecond / size.nodes;
  const requestMs = getSlope(inputs, 'entry.requestProcessor');
  const tokenMs = getSlope(inputs, 'entry.tokenProcessor');
  const tokensPerAnswer = size.tokensPerSecond / size.requestsPerSecond;
  const secondsPerAnswer =
    (tokensPerAnswer * size.interTokenMs) / MS_PER_SECOND;
  const streams = requests * secondsPerAnswer;
  const streamBytes = getSlope(inputs, 'entry.streamMemory');
  return [
    {
      quantity: 'requests',
      amount: requests,
      unit: '/s',
      derivation: `${size.requestsPerSecond} / ${size.nodes}`,
    },
    {
      quantity: 'tokens',
      amount: tokens,
      unit: '/s',
      derivation: `${size.tokensPerSecond} / ${size.nodes}`,
    },
    {
      quantity: 'processor',
      amount: (requests * requestMs + tokens * tokenMs) / MS_PER_SECOND,
      unit: 'cores',
      derivation: `requests × ${requestMs.toFixed(3)} ms + tokens × ${tokenMs.toFixed(4)} ms`,
    },
    {
      quantity: 'open streams',
      amount: streams,
      unit: '',
      derivation: `requests × ${tokensPerAnswer.toFixed(0)} tokens an answer × ${size.interTokenMs} ms`,
    },
    {
      quantity: 'memory of open streams',
      amount: (streams * streamBytes) / 1e6,
      unit: 'MB',
      derivation: `streams × ${streamBytes.toFixed(0)} bytes`,
    },
  ];
}

/** Computes the cost of the control plane on one entry. @internal */
export function computeEntryControlBudget(
  inputs: CapacityInputs,
  size: TargetSize,
): BudgetLine[] {
  const changes = getChangesPerSecond(size);
  const customers = size.assumedCustomers;
  const renewalBytes =
    RENEWALS_PER_SECOND * getSlope(inputs, 'lease.renewalBytes');
  const deltaBytes =
    changes * CHANGE_MESSAGES * getSlope(inputs, 'configuration.customerBytes');
  const largestRun = inputs.membership.costs.at(-1);
  const membershipBytes = largestRun?.sentAndReceivedBytesPerSecond ?? 0;
  const membershipCoreShare = (largestRun?.cpuPercent ?? 0) / 100;
  const renewalCoreShare =
    (RENEWALS_PER_SECOND * getSlope(inputs, 'lease.renewalProcessor')) /
    MS_PER_SECOND;
  const applyMs = customers * getSlope(inputs, 'configuration.applyProcessor');
  const serverBytes = getSlope(inputs, 'membership.serverMemory');
  const configurationBytes =
    customers * getSlope(inputs, 'configuration.customerBytes');
  return [
    {
      quantity: 'bytes, leases',
      amount: renewalBytes,
      unit: 'B/s',
      derivation: `${RENEWALS_PER_SECOND.toFixed(2)} renewals/s`,
    },
    {
      quantity: 'bytes, configuration changes',
      amount: deltaBytes,
      unit: 'B/s',
      derivation: `${changes.toFixed(2)} changes/s, a delta and its confirmation`,
    },
    {
      quantity: 'bytes, backend servers',
      amount: membershipBytes,
      unit: 'B/s',
      derivation: `measured at ${largestRun?.servers ?? 0} servers, ${largestRun?.held ?? 0} held in detail, among 8 entries`,
    },
    {
      quantity: 'processor, leases and backend servers',
      amount: renewalCoreShare + membershipCoreShare,
      unit: 'cores',
      derivation:
        'both ends of a renewal, and the measured share of membership',
    },
    {
      quantity: 'processor, configuration changes',
      amount: (changes * applyMs) / MS_PER_SECOND,
      unit: 'cores',
      derivation: `${changes.toFixed(2)} changes/s × ${applyMs.toFixed(1)} ms at ${customers} customers: the digest reads the whole configuration`,
    },
    {
      quantity: 'memory, configuration and servers',
      amount:
        (configurationBytes * 3 + (largestRun?.held ?? 0) * serverBytes) / 1e6,
      unit: 'MB',
      derivation: `${customers} customers, three times their JSON; ${largestRun?.held ?? 0} servers × ${serverBytes.toFixed(0)} bytes`,
    },
  ];
}
