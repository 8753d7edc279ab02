// A client sends orders whose head has many small headers, within the limit that the configuration sets. With
// TROUBLE=0 it has few. Checks what the replicas run.
import {Buffer} from 'node:buffer';
import {appendFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {HOST, KEY, buildConfiguration} from '../lib/configuration.mjs';
import {Deployment} from '../lib/deployment.mjs';
import {Replica} from '../lib/servers.mjs';

const RECORD = path.join(
  path.dirname(fileURLToPath(import.meta.url)),
  'record.txt',
);
const IS_TROUBLED = process.env.TROUBLE !== '0';
const HEADERS = IS_TROUBLED ? 1_100 : 20;
const REQUESTS = 30;
const TOKENS = '1460,80';
/** The client's deadline, in milliseconds. */
const DEADLINE_MS = 3_000;
const {max_header_bytes: MAX_HEADER_BYTES} = buildConfiguration(1).limits;

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

function buildHead(id, body) {
  const many = Array.from({length: HEADERS}, (unused, i) => `x-${i}: 1`);
  const head = [
    'POST /unsafe/order HTTP/1.1',
    `Host: ${HOST}`,
    `X-Sycamorehead-Request-Id: ${id}`,
    `Api-Key: ${KEY}`,
    `X-Sycamorehead-Deadline-Ms: ${DEADLINE_MS}`,
    ...many,
    `X-Sycamorehead-Token-Usage: ${TOKENS}`,
    `Content-Length: ${body.length}`,
    '',
    '',
  ].join('\r\n');
  if (head.length > MAX_HEADER_BYTES)
    throw new Error('the head exceeds the limit');
  return head;
}

/** Sends one request and resolves to the status of its answer, or 0. */
function send(head, body) {
  return new Promise(resolve => {
    const socket = net.connect(
      deployment.ports.frontend,
      deployment.entries[0].ip,
    );
    socket.setTimeout(DEADLINE_MS, () => socket.destroy());
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      if (!text.includes('\r\n\r\n')) return;
      socket.destroy();
    });
    socket.on('error', () => {});
    socket.on('close', () =>
      resolve(Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0)),
    );
    socket.write(head + body);
  });
}

function readHeader(raw, name) {
  const index = raw.findIndex(
    (text, i) => i % 2 === 0 && text.toLowerCase() === name,
  );
  return index < 0 ? undefined : raw[index + 1];
}

async function run() {
  deployment.start();
  const replicas = ['i-1', 'i-2'].map(
    id => new Replica(deployment, {id, service: 'app'}),
  );
  for (const replica of replicas) {
    await replica.listen();
    void replica.beat();
  }
  if (!(await deployment.order('PUT', '/api/config', buildConfiguration(1))))
    return 2;
  await sleep(3_000);
  const sent = new Map();
  for (let i = 1; i <= REQUESTS; i += 1) {
    const id = `order-${i}`;
    const body = `{"order":${i},"spoons":${i * 7}}`;
    const head = buildHead(id, body);
    sent.set(id, body);
    const status = await send(head, body);
    record(
      `${id}: ${head.length} bytes of head, ${body.length} of body; answered ${status}`,
    );
  }
  await sleep(500);
  let isBroken = false;
  const runs = replicas.flatMap(replica => replica.runs);
  for (const {id, body, raw} of runs) {
    const wanted = sent.get(id);
    const tokens = readHeader(raw, 'x-sycamorehead-token-usage');
    record(
      `${id} run with ${raw.length / 2} headers, body "${body}", token usage ${tokens ?? 'absent'}`,
    );
    if (Buffer.from(wanted ?? '').equals(body) && tokens === TOKENS) continue;
    record(
      `BROKEN: ${id} was sent with body "${wanted}" and token usage ${TOKENS}`,
    );
    isBroken = true;
  }
  for (const replica of replicas) await replica.close();
  if (isBroken) return 1;
  return runs.length === 0 ? 2 : 0;
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
