import path from 'node:path';
import {afterEach, beforeEach, test} from 'node:test';
import {CrowdProgram} from '@sycamorehead/wire/testing';
import type {CrowdOptions} from '@sycamorehead/wire/testing';
import {request} from 'undici';

const HOST = '127.0.0.1';
const CONTROL_PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../apps/syc-control/dist/main.js',
);
/** Memory of the machine that the control instance runs on, in megabytes. */
const MEMORY_MB = 346;
/** Descriptors of the machine. */
const MAX_FDS = 400;
const KB = 1024;
const MB = 1024 * KB;
const TOKEN = 'operator';
const HEAD = [
  'POST /rpc HTTP/1.1',
  'Host: control',
  `Authorization: Bearer ${TOKEN}`,
  '',
].join('\r\n');

type Port = 'operators' | 'peers';
type Crowd = Omit<CrowdOptions, 'host' | 'port' | 'head'>;

let program: CrowdProgram;
let ports: Readonly<Record<Port, number>>;

beforeEach(async () => {
  program = new CrowdProgram({
    command: ['--max-old-space-size=128', CONTROL_PROGRAM],
    environment: {
      SYC_NAME: 'control-p',
      SYC_PORT: '0',
      SYC_PEER_PORT: '0',
      SYC_PEER_KEY: 'peer',
      SYC_OPERATOR_TOKEN: TOKEN,
    },
    memoryMb: MEMORY_MB,
    maxFds: MAX_FDS,
  });
  const line = await program.readFirstOutput();
  const [, port, peerPort] = / port=(\d+) peer_port=(\d+)/.exec(line) ?? [];
  ports = {operators: Number(port), peers: Number(peerPort)};
  await program.callUntilServed(callOrdinary);
});

afterEach(() => program.stop());

async function callOrdinary(): Promise<boolean> {
  const answer = await request(`http://${HOST}:${ports.operators}/rpc`, {
    method: 'POST',
    headers: {authorization: `Bearer ${TOKEN}`},
    body: JSON.stringify({jsonrpc: '2.0', id: 1, method: 'status'}),
  }).catch(() => undefined);
  await answer?.body.dump().catch(() => {});
  return answer?.statusCode === 200;
}

function runCrowd(port: Port, options: Crowd): Promise<void> {
  const target = {host: HOST, port: ports[port], head: HEAD};
  return program.runCrowd({...options, ...target}, callOrdinary);
}

const CROWDS: Readonly<Record<string, Crowd>> = {
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
  'large bodies that stop short of their end': {
    input: 'stalled_body',
    connections: 100,
    bytes: 7 * MB,
  },
  'large chunks that stop short of their end': {
    input: 'large_chunks',
    connections: 100,
    bytes: 7 * MB,
  },
  'tiny chunks that stop short of their end': {
    input: 'tiny_chunks',
    connections: 32,
    bytes: MB,
  },
};

for (const [name, crowd] of Object.entries(CROWDS)) {
  test(`a control program outlives ${name}`, () =>
    runCrowd('operators', crowd));
}

test('a control program outlives frames of strangers that stop short of their end', () =>
  runCrowd('peers', {
    input: 'stalled_frame',
    connections: 50,
    bytes: 12 * MB,
  }));
