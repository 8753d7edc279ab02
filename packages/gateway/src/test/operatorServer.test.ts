import assert from 'node:assert/strict';
import {Socket, connect as open} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ENTRY_METHODS, RequestExplanation} from '@sycamorehead/fleet';
import type {SycamoreheadError} from '@sycamorehead/schema';
import {PeerLink, connectPeer} from '@sycamorehead/wire';
import {OperatorServer} from '../lib/OperatorServer.js';
import {ExplainedEntry, buildExplainedConfiguration} from './ExplainedEntry.js';
import {describeServer} from './FakeServer.js';
import {stopStarted, track} from './startGateway.js';

const QUESTION = {
  host: 'shop.example',
  target: '/drafts/1',
  customer: 'clinic',
};
const KEY = 'peer-key';
/** Pause after which the next question is answered, in milliseconds. */
const PAUSE_MS = 520;

afterEach(stopStarted);

function createServer(port = 0): OperatorServer {
  const entry = new ExplainedEntry('estimated', buildExplainedConfiguration());
  entry.servers.update({servers: [describeServer('s0', '10.0.0.1:80')]});
  return track(
    new OperatorServer({
      host: '127.0.0.1',
      port,
      peerKey: KEY,
      explain: question => entry.explain(question),
    }),
  );
}

async function connect(port: number, peerKey = KEY): Promise<PeerLink> {
  const link = await connectPeer({
    address: {host: '127.0.0.1', port},
    name: 'syc',
    peerKey,
    methods: {},
  });
  track({stop: () => Promise.resolve(link.close('done'))});
  return link;
}

function matchKind(kind: string) {
  return (error: SycamoreheadError) => error.kind === kind;
}

test('an entry answers those who hold the peer key, and nobody else', async () => {
  const port = await createServer().start();
  assert.ok(port);
  const link = await connect(port);
  const {outcome} = await link.request<RequestExplanation>(
    ENTRY_METHODS.explain,
    QUESTION,
  );
  assert.deepEqual(outcome, {type: 'sent', server: 's0', isCertain: true});
  await assert.rejects(connect(port, 'other'), matchKind('unauthenticated'));
});

test('a bad question is answered with its error, and questions at short intervals are refused', async () => {
  const port = await createServer().start();
  assert.ok(port);
  const link = await connect(port);
  const sendQuestion = (question: unknown) =>
    link.request(ENTRY_METHODS.explain, question);
  await assert.rejects(
    sendQuestion({...QUESTION, promptTokens: -1}),
    matchKind('malformed_request'),
  );
  await assert.rejects(sendQuestion(QUESTION), matchKind('overloaded'));
  await sleep(PAUSE_MS);
  await assert.rejects(sendQuestion(null), matchKind('malformed_request'));
  await sleep(PAUSE_MS);
  await sendQuestion(QUESTION);
});

test('strangers take no more than a bounded number of connections', async () => {
  const port = await createServer().start();
  assert.ok(port);
  const sockets = Array.from({length: 64}, () => open(port, '127.0.0.1'));
  const dropped = new Set<Socket>();
  for (const socket of sockets) {
    socket.on('error', () => {}).on('close', () => dropped.add(socket));
  }
  track({
    stop: () => {
      for (const socket of sockets) socket.destroy();
      return Promise.resolve();
    },
  });
  const deadline = performance.now() + 4_000;
  while (dropped.size < 32 && performance.now() < deadline) await sleep(20);
  assert.equal(dropped.size, 32);
});

test('a port that is taken costs the answers only', async () => {
  const port = await createServer().start();
  assert.ok(port);
  const second = createServer(port);
  assert.equal(await second.start(), undefined);
  await second.stop();
});
