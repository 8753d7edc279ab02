// An operator sends a few hundred configurations, each acknowledged before the next one. With trouble,
// the configuration has grown by many routes before. At the end it is read back from every machine.
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {buildConfiguration} from '../lib/configuration.mjs';
import {Deployment} from '../lib/deployment.mjs';

const RECORD = path.join(
  path.dirname(fileURLToPath(import.meta.url)),
  'record.txt',
);
const IS_TROUBLED = process.env.TROUBLE !== '0';
/** Five times the largest dose of `big_config`. */
const EXTRA_ROUTES = IS_TROUBLED ? 5 * 420 : 0;
const CHANGES = 260;
/** The pages allow up to eight. */
const ORDERS_AT_ONCE = 4;
/** Time after which an order counts as not acknowledged, in milliseconds; `ack_ms` and 3 ms a route are less. */
const ORDER_MS = 11_000;
/** Time for all changes, in milliseconds. */
const CHANGES_MS = 72_000;
/** Ends of one process by itself that the pages count as a fault, if half of the core is concerned. */
const LOOP_EXITS = 3;
/** Time after the last change before the configuration is read back, in milliseconds. */
const CALM_MS = 6_000;
/** Time for which it is read again and again; `touch_ms` at least. */
const READ_MS = 12_000;

writeFileSync(RECORD, '');
const deployment = await Deployment.create({
  controls: 5,
  entries: 1,
  faults: 2,
});
const record = text =>
  appendFileSync(RECORD, `${deployment.now()} ms  ${text}\n`);
deployment.onExit = (machine, how) =>
  record(`${machine.role} ${machine.ip} ended by itself: ${how}`);

async function run() {
  deployment.start();
  let acknowledged = 0;
  let next = 1;
  const until = performance.now() + CHANGES_MS;
  /** Sends one version after another; a few of these run at the same time. */
  const send = async () => {
    while (next <= CHANGES && performance.now() < until) {
      const version = next++;
      const configuration = buildConfiguration(version, {
        extraRoutes: EXTRA_ROUTES,
      });
      const isAcknowledged = await deployment.order(
        'PUT',
        '/api/config',
        configuration,
        ORDER_MS,
      );
      if (!isAcknowledged) {
        record(
          `version ${version} has no acknowledgement after ${ORDER_MS} ms`,
        );
        next = Infinity;
        return;
      }
      acknowledged = Math.max(acknowledged, version);
      if (version % 20 === 0)
        record(
          `version ${version} acknowledged (${JSON.stringify(configuration).length} bytes)`,
        );
    }
  };
  await Promise.all(Array.from({length: ORDERS_AT_ONCE}, send));
  record(`versions up to ${acknowledged} acknowledged`);
  if (acknowledged === 0) return 2;
  await sleep(CALM_MS);
  const newest = [];
  const readUntil = performance.now() + READ_MS;
  while (performance.now() < readUntil && newest.length < 5) {
    for (const machine of deployment.controls) {
      const reply = await deployment.call(
        machine,
        'GET',
        '/api/config',
        undefined,
        2_000,
      );
      const version =
        reply?.status === 200 ? JSON.parse(reply.text).version : undefined;
      record(
        `read from ${machine.ip}: ${reply ? reply.status : 'no answer'} ${version ?? ''}`,
      );
      if (version !== undefined) newest.push(version);
    }
    await sleep(500);
  }
  const exits = deployment.controls.reduce(
    (sum, {exits}) => sum + exits.length,
    0,
  );
  record(`processes of control that ended by themselves: ${exits}`);
  if (newest.length === 0) {
    record(
      'BROKEN: an acknowledged configuration does not come when it is read back',
    );
    return 1;
  }
  if (Math.max(...newest) < acknowledged) {
    record(
      `BROKEN: version ${Math.max(...newest)} is read back, older than ${acknowledged}`,
    );
    return 1;
  }
  const looping = deployment.controls.filter(
    machine => machine.exits.length >= LOOP_EXITS,
  );
  if (looping.length * 2 >= deployment.controls.length) {
    record(
      `BROKEN: ${looping.length} of ${deployment.controls.length} processes of control ended by themselves ${LOOP_EXITS} times or more`,
    );
    return 1;
  }
  if (acknowledged < CHANGES) {
    record('too slow a machine: not all versions were sent');
    return 2;
  }
  return 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record(`not run: ${error.stack}`);
} finally {
  await deployment.stop();
}
record(`exit ${code}`);
process.exit(code);
