import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {
  DEFAULT_OBJECTIVES,
  SampleStore,
  buildReport,
  collectSamples,
  readExperiments,
  renderHtml,
} from '@sycamorehead/report';
import {Demo} from './Demo.js';
import {WorkKind, generateArrivals} from './load/arrivals.js';
import {runLoad} from './load/runLoad.js';

const DURATION_MS = 8_000;
const SAMPLE_INTERVAL_MS = 250;
const RATE_PER_SECOND = 40;
const SEED = 1;

const KINDS: readonly WorkKind[] = [
  {
    kind: 'proof',
    weight: 6,
    promptTokens: 60,
    outputTokens: 12,
    sigma: 0.4,
    deadlineMs: 2_000,
  },
  {
    kind: 'commission-brief',
    weight: 1,
    promptTokens: 600,
    outputTokens: 80,
    sigma: 0.6,
    deadlineMs: 20_000,
  },
  {
    kind: 'deposit',
    weight: 1,
    promptTokens: 1,
    outputTokens: 1,
    sigma: 0,
    deadlineMs: 1_000,
    service: {
      name: 'orders',
      method: 'POST',
      path: '/deposits',
      isRepeatable: false,
    },
  },
];

/**
 * Runs the demo under a short load, while the plain service resets its connections for part of the
 * run, and writes the report as one HTML page.
 *
 * @returns the path of the page.
 * @example
 * ```ts
 * console.log(await runReportDemo('bench-results'));
 * ```
 * @public
 */
export async function runReportDemo(folder: string): Promise<string> {
  mkdirSync(folder, {recursive: true});
  const storeFile = path.join(folder, 'demo-samples.jsonl');
  rmSync(storeFile, {force: true});
  const store = new SampleStore(storeFile);
  const demo = new Demo();
  await demo.start();
  store.append(await collectSamples(demo.entryUrls));
  const sampleTimer = setInterval(async () => {
    store.append(await collectSamples(demo.entryUrls));
  }, SAMPLE_INTERVAL_MS);
  const faultTimer = scheduleFaults(demo);
  await runLoad(
    {
      entryUrls: demo.entryUrls,
      getKey: () => demo.keys.customerKey,
    },
    generateArrivals({
      seed: SEED,
      durationMs: DURATION_MS,
      ratePerSecond: RATE_PER_SECOND,
      kinds: KINDS,
      customers: [{customer: 'taller-demo', weight: 1}],
    }),
  );
  clearInterval(sampleTimer);
  clearTimeout(faultTimer);
  store.append(await collectSamples(demo.entryUrls));
  const {configuration} = await demo.createOperator().readInForce();
  await demo.stop();
  const page = path.join(folder, 'report.html');
  const report = buildReport({
    samples: store.read(),
    objectives: DEFAULT_OBJECTIVES,
    versions: configuration.versions,
    experiments: readExperiments(folder),
  });
  writeFileSync(page, renderHtml(report));
  return page;
}

/** Makes the plain service reset every connection during the middle third of the run. */
function scheduleFaults(demo: Demo): NodeJS.Timeout {
  const setFault = (isActive: boolean) => {
    for (const service of demo.services)
      service.faults.resetsAfterRun = isActive;
  };
  return setTimeout(() => {
    setFault(true);
    setTimeout(() => setFault(false), DURATION_MS / 3);
  }, DURATION_MS / 3);
}
