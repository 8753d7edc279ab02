import type {Bill} from '@sycamorehead/schema';
import {computeQuantile} from '../../load/computeStatistics.js';
import {ConfigDeployment, sleep} from './ConfigDeployment.js';

const PUBLISH_PAUSE_MS = 100;
const CPU_WINDOW_MS = 6_000;
const CHANGES_PER_SECOND = 1.3;
const COMMIT_CONCURRENCY = 1_024;
const SECOND_MS = 1_000;

/** Quantiles of measured times, in milliseconds. @internal */
export interface Timing {
  readonly p50: number;
  readonly p99: number;
  readonly count: number;
}

function computeTiming(values: readonly number[]): Timing {
  return {
    p50: Math.round(computeQuantile(values, 0.5)),
    p99: Math.round(computeQuantile(values, 0.99)),
    count: values.length,
  };
}

/** Measures the time from acceptance of a note until it is in force on all entries. @internal */
export async function measureInForce(
  deployment: ConfigDeployment,
  count: number,
): Promise<Timing> {
  const values: number[] = [];
  for (let published = 0; published < count; published++) {
    const revision = await deployment.publishNext();
    const acceptedAt = performance.now();
    await deployment.waitInForce(revision);
    values.push(performance.now() - acceptedAt);
    await sleep(PUBLISH_PAUSE_MS);
  }
  return computeTiming(values);
}

/**
 * Measures the time from the loss of the leader until a release note that is published right after
 * the loss is in force on all entries.
 *
 * @internal
 */
export async function measureLeaderLoss(
  deployment: ConfigDeployment,
  count: number,
): Promise<Timing> {
  const values: number[] = [];
  for (let losses = 0; losses < count; losses++) {
    const leader = deployment.findLeader()!;
    const startedAt = performance.now();
    await deployment.abort(leader);
    const revision = await deployment.publishNext();
    await deployment.waitInForce(revision);
    values.push(performance.now() - startedAt);
    await deployment.restart(leader);
    await sleep(SECOND_MS);
  }
  return computeTiming(values);
}

/** Commits bills at a constant rate; returns a function that stops it. @internal */
export function startCommits(
  deployment: ConfigDeployment,
  perSecond: number,
): () => void {
  const intervalMs = 10;
  let serial = 0;
  const timer = setInterval(() => {
    for (let n = 0; n < (perSecond * intervalMs) / SECOND_MS; n++) {
      serial += 1;
      const bill = buildBill(`load-${serial}`);
      deployment
        .findLeader()
        ?.instance.node.recordBill(bill)
        .catch(() => {});
    }
  }, intervalMs);
  return () => clearInterval(timer);
}

/** Measures small commits per second and the leader's disk syncs per commit. @internal */
export async function measureCommits(
  deployment: ConfigDeployment,
  count: number,
): Promise<{perSecond: number; syncsPerCommit: number}> {
  const {node} = deployment.findLeader()!.instance;
  const before = node.readStatus().storage!;
  const startedAt = performance.now();
  let started = 0;
  const runCommits = async () => {
    while (started < count) {
      started += 1;
      await node.recordBill(buildBill(`commit-${started}`));
    }
  };
  await Promise.all(Array.from({length: COMMIT_CONCURRENCY}, runCommits));
  const seconds = (performance.now() - startedAt) / SECOND_MS;
  const after = node.readStatus().storage!;
  return {
    perSecond: Math.round(count / seconds),
    syncsPerCommit: Number(((after.syncs - before.syncs) / count).toFixed(4)),
  };
}

/** Measures the restart time of a control instance after many changes, in ms. @internal */
export async function measureRestart(changes: number): Promise<number> {
  const deployment = new ConfigDeployment();
  await deployment.start(1);
  try {
    const [control] = deployment.controls;
    for (let published = 1; published < changes; published++)
      await deployment.publishNext();
    await deployment.abort(control!);
    const startedAt = performance.now();
    await deployment.restart(control!);
    const report = await deployment.runOnLeader(({node}) => node.readInForce());
    if (report.revision !== changes)
      throw new Error(
        `revision ${report.revision} after the restart, expected ${changes}`,
      );
    return Math.round(performance.now() - startedAt);
  } finally {
    await deployment.stop();
  }
}

/** Cost of receiving the configuration per entry, including its share of control's work. */
export interface EntryCost {
  readonly bytesPerSecond: number;
  /** Processor time as a percentage of one core. */
  readonly cpuPercent: number;
}

/** Measures bytes and processor time per entry, with or without changes. @internal */
export async function measureEntryCost(
  deployment: ConfigDeployment,
  isChanging: boolean,
): Promise<EntryCost> {
  const entries = deployment.managers.length;
  const bytesBefore = deployment.countBytes();
  const cpuBefore = process.cpuUsage();
  const endAt = performance.now() + CPU_WINDOW_MS;
  while (performance.now() < endAt) {
    if (isChanging) await deployment.publishNext();
    await sleep(isChanging ? SECOND_MS / CHANGES_PER_SECOND : SECOND_MS);
  }
  const {user, system} = process.cpuUsage(cpuBefore);
  const seconds = (performance.now() - endAt + CPU_WINDOW_MS) / SECOND_MS;
  const cpuSeconds = (user + system) / 1e6;
  const bytes = deployment.countBytes() - bytesBefore;
  return {
    bytesPerSecond: Math.round(bytes / entries / seconds),
    cpuPercent: Number(((100 * cpuSeconds) / entries / seconds).toFixed(3)),
  };
}

function buildBill(requestKey: string): Bill {
  return {
    requestKey,
    requestId: requestKey,
    customer: 'customer-1',
    item: 'm/v1',
    amountMicros: 100,
    revision: 1,
  };
}
