import {
  BudgetLine,
  getChangesPerSecond,
  getSlope,
} from './computeEntryBudget.js';
import type {CapacityInputs} from './readCapacityInputs.js';
import type {TargetSize} from './targetSize.js';

const RENEWALS_PER_SECOND = 1_000 / 750;
const MS_PER_SECOND = 1_000;
const SECONDS_PER_HOUR = 3_600;
/** Matches the name of the target for commits in the results of experiment `config`. */
const COMMITS_TARGET = /commit/;

/** Returns the measured commits per second of one log, or 0 if none were measured. @internal */
export function findCommitsPerSecond(inputs: CapacityInputs): number {
  const commitTarget = inputs.config.find(
    ({name, target: bounds}) =>
      COMMITS_TARGET.test(name) && bounds.includes('5'),
  );
  return commitTarget?.value ?? 0;
}

/** Computes the load of leases and configuration on the voters of shard 0. @internal */
export function computeConfigurationShardBudget(
  inputs: CapacityInputs,
  size: TargetSize,
): BudgetLine[] {
  const renewals = size.nodes * RENEWALS_PER_SECOND;
  const renewalMs = getSlope(inputs, 'lease.renewalProcessor');
  const changes = getChangesPerSecond(size);
  const publishMs =
    size.assumedCustomers * getSlope(inputs, 'configuration.publishProcessor');
  return [
    {
      quantity: 'lease renewals, without relays',
      amount: renewals,
      unit: '/s',
      derivation: `${size.nodes} nodes × ${RENEWALS_PER_SECOND.toFixed(2)}/s`,
    },
    {
      quantity: 'processor of renewals, both ends',
      amount: (renewals * renewalMs) / MS_PER_SECOND,
      unit: 'cores',
      derivation: `renewals × ${renewalMs.toFixed(3)} ms`,
    },
    {
      quantity: 'deltas sent, without relays',
      amount: changes * size.nodes,
      unit: '/s',
      derivation: `${changes.toFixed(2)} changes/s × ${size.nodes} nodes`,
    },
    {
      quantity: 'processor of changes',
      amount: (changes * publishMs) / MS_PER_SECOND,
      unit: 'cores',
      derivation: `changes × ${publishMs.toFixed(1)} ms at ${size.assumedCustomers} customers`,
    },
  ];
}

/** Computes the load on the shards of sessions, request records and bills. @internal */
export function computeRecordShardsBudget(
  inputs: CapacityInputs,
  size: TargetSize,
): BudgetLine[] {
  const bills = size.requestsPerSecond;
  const logBytes = getSlope(inputs, 'control.billLog');
  const memoryBytes = getSlope(inputs, 'control.billMemory');
  const billMs = getSlope(inputs, 'control.billProcessor');
  const commits = findCommitsPerSecond(inputs);
  return [
    {
      quantity: 'bills',
      amount: bills,
      unit: '/s',
      derivation: 'one for each request',
    },
    {
      quantity: 'log, for each voter',
      amount: (bills * logBytes) / 1e6,
      unit: 'MB/s',
      derivation: `bills × ${logBytes.toFixed(0)} bytes, before compression`,
    },
    {
      quantity: 'processor of applying bills',
      amount: (bills * billMs) / MS_PER_SECOND,
      unit: 'cores',
      derivation: `bills × ${billMs.toFixed(4)} ms, on every voter`,
    },
    {
      quantity: 'memory of an hour of bills',
      amount: (bills * SECONDS_PER_HOUR * memoryBytes) / 1e9,
      unit: 'GB',
      derivation: `bills × 3600 × ${memoryBytes.toFixed(0)} bytes`,
    },
    {
      quantity: 'shards at the measured commits of one log',
      amount: commits > 0 ? Math.ceil(bills / commits) : Number.NaN,
      unit: 'shards',
      derivation: `bills / ${commits.toFixed(0)} small commits/s, three voters on one machine; not measured over a network`,
    },
  ];
}
