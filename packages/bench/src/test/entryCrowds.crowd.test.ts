import assert from 'node:assert/strict';
import path from 'node:path';
import {afterEach, beforeEach, test} from 'node:test';
import {createControlMethods} from '@sycamorehead/control';
import {StandInService} from '@sycamorehead/stand-ins';
import {WireServer} from '@sycamorehead/wire';
import {CrowdProgram} from '@sycamorehead/wire/testing';
import type {CrowdOptions} from '@sycamorehead/wire/testing';
import {CUSTOMER_KEY, DeliveryHarness} from './DeliveryHarness.js';
import {TestCaller} from './TestCaller.js';

const HOST = '127.0.0.1';
const ENTRY_PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../apps/syc-entry/dist/main.js',
);
/** Memory of the machine that the entry runs on, in megabytes. */
const MEMORY_MB = 210;
/** Descriptors of the machine. */
const MAX_FDS = 400;
const KB = 1024;
const MB = 1024 * KB;
const HEAD = [
  'POST /services/rota/once HTTP/1.1',
  'Host: entry',
  `Authorization: Bearer ${CUSTOMER_KEY}`,
  'Idempotency-Key: crowd',
  '',
].join('\r\n');

type Port = 'callers' | 'peers';
type Crowd = Omit<CrowdOptions, 'host' | 'port' | 'head'>;

let harness: DeliveryHarness;
let wire: WireServer;
let replica: StandInService;
let program: CrowdProgram;
let caller: TestCaller;
let ports: Readonly<Record<Port, number>>;

function startEntry(controlPort: number): CrowdProgram {
  return new CrowdProgram({
    command: ['--max-old-space-size=96', ENTRY_PROGRAM],
    environment: {
      SYC_NAME: 'entry-p',
      SYC_DATA_CENTRE: 'dc-1',
      SYC_PORT: '0',
      SYC_PEER_PORT: '0',
      SYC_CONTROL_PEERS: `control-1=${HOST}:${controlPort}`,
      SYC_PEER_KEY: 'peer',
      SYC_SERVER_KEY: 'server',
    },
    memoryMb: MEMORY_MB,
    maxFds: MAX_FDS,
  });
}

beforeEach(async () => {
  harness = await new DeliveryHarness({entries: 0}).start();
  wire = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'peer',
    methods: createControlMethods(harness.control),
  });
  program = startEntry(await wire.start());
  const line = await program.readFirstOutput();
  const [, port, peerPort] = / port=(\d+) peer_port=(\d+)/.exec(line) ?? [];
  ports = {callers: Number(port), peers: Number(peerPort)};
  const url = `http://${HOST}:${port}`;
  caller = new TestCaller(url, CUSTOMER_KEY);
  replica = new StandInService({
    id: 'rota-1',
    service: 'rota',
    dataCentre: 'dc-1',
    entries: [url],
    serverKey: 'server',
  });
  await replica.start();
  await program.callUntilServed(callOrdinary);
});

afterEach(async () => {
  await program.stop();
  await replica.stop();
  await caller.stop();
  await wire.stop();
  await harness.stop();
});

async function callOrdinary(): Promise<boolean> {
  return (await caller.callService('GET', 'rota/read')).status === 200;
}

function runCrowd(port: Port, options: Crowd): Promise<void> {
  const target = {host: HOST, port: ports[port], head: HEAD};
  return program.runCrowd({...options, ...target}, callOrdinary);
}

const CROWDS: Readonly<Record<string, Crowd>> = {
  'heads without end': {input: 'endless_head', connections: 500, bytes: MB},
  'heads that never end': {
    input: 'endless_head',
    connections: 500,
    bytes: 12 * KB,
  },
  'empty lines before a request': {
    input: 'endless_lines',
    connections: 500,
    bytes: MB,
  },
  'whole large bodies': {input: 'whole_body', connections: 400, bytes: MB},
  'large bodies that stop short of their end': {
    input: 'stalled_body',
    connections: 400,
    bytes: MB,
  },
  'large chunks that stop short of their end': {
    input: 'large_chunks',
    connections: 400,
    bytes: MB,
  },
  'tiny chunks that stop short of their end': {
    input: 'tiny_chunks',
    connections: 24,
    bytes: MB,
  },
};

for (const [name, crowd] of Object.entries(CROWDS)) {
  test(`an entry program outlives ${name}`, () => runCrowd('callers', crowd));
}

test('an entry program outlives frames of strangers that stop short of their end', () =>
  runCrowd('peers', {
    input: 'stalled_frame',
    connections: 50,
    bytes: 12 * MB,
  }));

test('a body as large as the limit is served in calm', async () => {
  const body = 'a'.repeat(MB);
  const {status} = await caller.callService('POST', 'rota/once', 'k', body);
  assert.equal(status, 200);
});
