import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fakeTimers from '@sinonjs/fake-timers';
import type {ServiceRollout, VersionCounts} from '@sycamorehead/schema';
import type {KnownServer} from '../lib/KnownServer.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {
  FakeServer,
  LAST_CHUNK,
  ServerScript,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {GatewayHarness, formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const ROLLOUT: ServiceRollout = {
  service: 'drafts',
  target: 'v2',
  durationMs: 20_000,
  phase: 'in_progress',
  share: 0.5,
  number: 1,
  isEarly: true,
};

/** Starts a gateway whose servers run the version of a roll-out. */
async function startOnTrial(
  route: Parameters<typeof startGateway>[0],
  script: ServerScript,
  count = 1,
): Promise<GatewayHarness> {
  const servers: FakeServer[] = [];
  for (let index = 0; index < count; index += 1) {
    servers.push(await startServer(`s${index}`, script));
  }
  const gateway = await startGateway(route, servers);
  gateway.list(servers.map(server => server.describe({version: 'v2'})));
  gateway.versions.update([{...ROLLOUT, share: 1}]);
  return gateway;
}

function sumEvidence(versions: VersionSplit) {
  const sum = {answers: 0, failures: 0, losses: 0};
  for (const {counts} of versions.listEvidence()) {
    for (const {answers, failures, losses = 0} of Object.values(counts)) {
      sum.answers += answers;
      sum.failures += failures;
      sum.losses += losses;
    }
  }
  return sum;
}

test('a bad version was completed: an answer that is dropped as weak counts like a delivered one', async () => {
  const answerByModel: ServerScript = (request, socket) => {
    const confidence = request.headers.get('x-model') === 'small' ? 10 : 90;
    socket.write(formatStreamHead(request, [`X-Confidence: ${confidence}`]));
    socket.write(formatChunk(formatEvent(1)) + LAST_CHUNK);
  };
  const gateway = await startOnTrial(
    {kind: 'streaming', isResumable: true, models: ['small', 'large']},
    answerByModel,
  );
  await gateway.exchange(
    formatRequest({method: 'POST', headers: ['X-Model: *']}),
  );
  assert.deepEqual(sumEvidence(gateway.versions), {
    answers: 2,
    failures: 0,
    losses: 0,
  });
});

test('a good version was rolled back: a caller that leaves is no failure of the version', async () => {
  const gateway = await startOnTrial({kind: 'safe'}, () => {});
  const socket = await gateway.open();
  socket.write(formatRequest());
  await sleep(60);
  socket.destroy();
  await sleep(60);
  assert.deepEqual(sumEvidence(gateway.versions), {
    answers: 0,
    failures: 0,
    losses: 0,
  });
});

test('errors and lost answers are counted apart', async () => {
  let served = 0;
  const gateway = await startOnTrial({kind: 'unsafe'}, (request, socket) => {
    served += 1;
    const text = formatAnswer(request, 'no');
    if (served === 1) socket.write(text.replace(/ 200 \w+/, ' 500 Error'));
    else socket.resetAndDestroy();
  });
  await gateway.exchange(formatRequest({method: 'POST', id: 'r1'}));
  await gateway.exchange(formatRequest({method: 'POST', id: 'r2'}));
  const {failures, losses} = sumEvidence(gateway.versions);
  assert.deepEqual({failures, losses}, {failures: 1, losses: 1});
});

test('a bad version was completed: an answer that is long overdue is evidence before it comes, and counts once', () => {
  const clock = fakeTimers.install({toFake: ['performance']});
  try {
    const split = new VersionSplit(5_000);
    split.update([ROLLOUT]);
    const server = buildServer('v2');
    const send = {
      server,
      route: 'drafts',
      sentAt: performance.now(),
      expectedMs: 50,
    };
    split.recordSend(send);
    clock.tick(150);
    assert.equal(readCounts(split), undefined);
    clock.tick(300);
    assert.equal(readCounts(split)?.answers, 1);
    assert.equal(sumLate(readCounts(split)), 1);
    clock.tick(400);
    split.recordSendResult(send);
    split.recordAnswer(server, 'drafts', 'answered', 17);
    split.recordSendEnd(send);
    assert.equal(readCounts(split)?.answers, 1);
    const abandoned = {...send, sentAt: performance.now()};
    split.recordSend(abandoned);
    clock.tick(500);
    split.recordSendEnd(abandoned);
    assert.equal(readCounts(split)?.answers, 2);
    assert.equal(sumLate(readCounts(split)), 2);
  } finally {
    clock.uninstall();
  }
});

function buildServer(version: string): KnownServer {
  const table = new ServerTable();
  const registration = {
    id: 's1',
    service: 'drafts',
    address: '127.0.0.1:1',
    dataCentre: 'a',
    version,
    slots: 4,
    state: 'ready' as const,
    startedAtMs: 0,
    sequence: 1,
  };
  table.update({servers: [{registration, isSilent: false}]});
  const [server] = table.listReady('drafts');
  assert.ok(server);
  return server;
}

function readCounts(split: VersionSplit): VersionCounts | undefined {
  return split.listEvidence()[0]?.counts['drafts s1|new'];
}

/** Sums the answers that took more than four times the expected time. */
function sumLate(counts: VersionCounts | undefined): number {
  return (counts?.times ?? []).slice(3).reduce((sum, count) => sum + count, 0);
}
