import {randomBytes} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {
  boolean,
  command,
  flag,
  number,
  option,
  positional,
  run,
  string,
} from 'cmd-ts';
import {
  Demo,
  RouteDemo,
  EXPERIMENTS,
  describeSeeds,
  FUZZ_TARGETS,
  ExperimentResult,
  runReportDemo,
  updateCapacityPage,
} from '@sycamorehead/bench';
import {request} from 'undici';

const RESULTS_FOLDER = 'bench-results';

/**
 * Runs the demo: publishes a release note, sends one request to each of its two fleets and then
 * continues to serve until a signal arrives, or stops if `once` is set.
 */
async function runDemo(once: boolean): Promise<void> {
  const demo = new Demo(undefined, true);
  await demo.start();
  const [entry = ''] = demo.entryUrls;
  const {statusCode, body} = await request(`${entry}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${demo.keys.customerKey}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: 'auto',
      messages: [{role: 'user', content: 'Draft an inscription for a spoon'}],
    }),
  });
  const text = await body.text();
  if (statusCode !== 200) {
    throw new Error(`the demo request was answered ${statusCode}: ${text}`);
  }
  console.log(`answered ${text}`);
  const routeDemo = await startRouteDemo(demo.keys.peerKey);
  if (once) {
    await Promise.all([demo.stop(), routeDemo.stop()]);
    return;
  }
  const {operatorToken, customerKey} = demo.keys;
  console.log(
    `ready entry=${entry} control=${demo.controlUrl} operator_token=${operatorToken} customer_key=${customerKey}`,
  );
  const stop = () =>
    void Promise.all([demo.stop(), routeDemo.stop()]).then(() =>
      process.exit(0),
    );
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

/** Starts a fleet with a declared route and prints the answer to one request. */
async function startRouteDemo(peerKey: string): Promise<RouteDemo> {
  const key = randomBytes(12).toString('hex');
  const demo = new RouteDemo(key);
  await demo.start(peerKey);
  const headers = demo.buildHeaders('demo-1');
  const {statusCode, body} = await request(`${demo.entryUrl}/turns/1`, {
    headers,
  });
  const text = await body.text();
  if (statusCode !== 200) {
    throw new Error(
      `the request to the declared route was answered ${statusCode}: ${text}`,
    );
  }
  console.log(`route answered ${text.trim()}`);
  console.log(
    `ready route=${demo.entryUrl}/turns/ host=${headers.host} key=${key} peer=${demo.peer} peer_key=${peerKey}`,
  );
  return demo;
}

function listExperiments(): void {
  for (const [name, {summary}] of Object.entries(EXPERIMENTS)) {
    console.log(`${name}: ${summary}`);
  }
}

function saveResult(result: ExperimentResult): void {
  mkdirSync(RESULTS_FOLDER, {recursive: true});
  const file = `${RESULTS_FOLDER}/${result.experiment}-${result.seed}.json`;
  writeFileSync(file, JSON.stringify(result, null, 2));
}

async function runExperiment(name: string, seed: number, seeds: number) {
  const experiment = EXPERIMENTS[name];
  if (!experiment) {
    throw new Error(`${name} is not an experiment; 'list' prints their names`);
  }
  const results: ExperimentResult[] = [];
  for (let offset = 0; offset < seeds; offset++) {
    const result = await experiment.run({seed: seed + offset});
    saveResult(result);
    results.push(result);
    console.log(JSON.stringify(result));
  }
  if (seeds > 1) console.log(JSON.stringify(describeSeeds(results)));
  const isMet = results.every(({targets}) => targets.every(({met}) => met));
  process.exitCode = isMet ? 0 : 1;
}

/** Fuzzes each target for an equal share of the time; prints the seed so that a run can be repeated. */
async function runFuzz(seconds: number): Promise<void> {
  const targets = Object.entries(FUZZ_TARGETS);
  const budgetMs = (seconds * 1_000) / targets.length;
  const seed = Date.now() % 2 ** 31;
  for (const [name, fuzz] of targets) {
    console.log(`fuzzing ${name} seed=${seed}`);
    await fuzz({seed, cases: Number.MAX_SAFE_INTEGER, budgetMs});
  }
}

const app = command({
  name: 'syc-bench',
  description:
    'Runs the demos, experiments and fuzz targets; engines and services are stand-ins',
  args: {
    name: positional({
      type: string,
      displayName: 'name',
      description:
        "'demo', 'report-demo', 'capacity', 'fuzz', 'list', or the name of an experiment",
    }),
    once: flag({
      type: boolean,
      long: 'once',
      description: 'stop the demo after one answered request',
    }),
    json: flag({type: boolean, long: 'json', description: 'print only JSON'}),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
    update: flag({
      type: boolean,
      long: 'update',
      description: 'capacity: copy the newest results into the page first',
    }),
    seconds: option({
      type: number,
      long: 'seconds',
      description: 'total seconds of fuzzing, divided among all targets',
      defaultValue: () => 60,
      defaultValueIsSerializable: true,
    }),
    seeds: option({
      type: number,
      long: 'seeds',
      description: 'number of consecutive seeds, starting at --seed',
      defaultValue: () => 1,
      defaultValueIsSerializable: true,
    }),
  },
  handler: async ({name, once, seed, seeds, seconds, update}) => {
    if (name === 'demo') return runDemo(once);
    if (name === 'report-demo') {
      console.log(`written ${await runReportDemo(RESULTS_FOLDER)}`);
      return undefined;
    }
    if (name === 'capacity') {
      return updateCapacityPage('docs', update ? RESULTS_FOLDER : undefined);
    }
    if (name === 'fuzz') return runFuzz(seconds);
    if (name === 'list') return listExperiments();
    return runExperiment(name, seed, seeds);
  },
});

await run(app, process.argv.slice(2));
