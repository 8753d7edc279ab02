import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {FakeServer, ReceivedRequest, formatAnswer} from './FakeServer.js';
import {formatRequest, readStatus} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];
/** Time that a server works on a request, in milliseconds. */
const WORK_MS = 20;
/** Time after which a connection is idle, in milliseconds. */
const IDLE_MS = 60;

/** When a server writes an earlier refusal once more on a kept connection. */
type RepeatTime = 'at once' | 'while it is idle' | 'with the next request';

const DELAYS: Readonly<Record<RepeatTime, number | undefined>> = {
  'at once': 0,
  'while it is idle': IDLE_MS / 2,
  'with the next request': undefined,
};

/** A server that refuses the first request, and writes the refusal once more. */
async function startRepeatingServer(
  time: RepeatTime,
  isNamed: boolean,
): Promise<{server: FakeServer; runs: string[]}> {
  const runs: string[] = [];
  const due = new Map<Socket, string>();
  const run = (request: ReceivedRequest, socket: Socket) => {
    runs.push(request.headers.get('x-request-id') ?? '');
    socket.write(due.get(socket) ?? '');
    due.delete(socket);
    setTimeout(() => socket.write(formatAnswer(request, 'whole')), WORK_MS);
  };
  const server = await startServer('s1', (request, socket) => {
    if (server.received.length > 1) {
      run(request, socket);
      return;
    }
    const fields = ['X-Not-Executed: 1', 'Keep-Alive: timeout=60'];
    const refusal = formatAnswer(request, '', fields).replace(
      '200 OK',
      '503 Full',
    );
    const repeat = isNamed
      ? refusal
      : refusal.replace(/X-Request-Id: [^\r]*\r\n/, '');
    socket.write(refusal);
    const delayMs = DELAYS[time];
    if (delayMs === undefined) due.set(socket, repeat);
    else setTimeout(() => socket.writable && socket.write(repeat), delayMs);
  });
  return {server, runs};
}

const CASES = (Object.keys(DELAYS) as RepeatTime[]).flatMap(time =>
  (['safe', 'unsafe'] as const).flatMap(kind =>
    [true, false].map(isNamed => ({time, kind, isNamed})),
  ),
);

for (const {time, kind, isNamed} of CASES) {
  const id = isNamed ? 'with its id' : 'without an id';
  test(`a refusal that is written again ${time}, ${id}, is no answer to the next ${kind} request`, async () => {
    const {server, runs} = await startRepeatingServer(time, isNamed);
    const gateway = await startGateway({kind}, [server]);
    // The server has run nothing yet; the request goes to it again, on a connection of its own.
    await gateway.exchange(formatRequest({id: 'r1', method: 'POST'}));
    if (time === 'while it is idle') await sleep(IDLE_MS);
    const ids = ['r2', 'r3', 'r4'];
    const texts = await Promise.all(
      ids.map(id => gateway.exchange(formatRequest({id, method: 'POST'}))),
    );
    for (const [index, text] of texts.entries()) {
      const status = readStatus(text);
      assert.ok(!PROMISES.includes(status), `${status}`);
      if (status === 200) assert.ok(text.endsWith('whole'));
      const count = runs.filter(run => run === ids[index]).length;
      assert.ok(count >= 1);
      if (kind === 'unsafe') assert.equal(count, 1);
      else assert.equal(status, 200);
    }
  });
}
