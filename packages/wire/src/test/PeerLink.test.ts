import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {SycamoreheadError} from '@sycamorehead/schema';
import FakeTimers from '@sinonjs/fake-timers';
import {
  FrameDecoder,
  MAX_FRAME_BYTES,
  encodeFrame,
} from '../lib/FrameDecoder.js';
import {MessageChannel} from '../lib/MessageChannel.js';
import {PeerLink} from '../lib/PeerLink.js';
import {WireServer} from '../lib/WireServer.js';
import {connectPeer} from '../lib/connectPeer.js';

const HOST = '127.0.0.1';

test('an authenticated link returns results and typed errors', async () => {
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'k',
    methods: {
      double: ({value}: {value: number}) => ({value: value * 2}),
      fail: () => {
        throw new SycamoreheadError('not_leader', 'ask c2', {leader: 'c2'});
      },
    },
  });
  const address = {host: HOST, port: await server.start()};
  const link = await connectPeer({address, name: 'e1', peerKey: 'k'});
  assert.deepEqual(await link.request('double', {value: 4}), {value: 8});
  await assert.rejects(link.request('fail', {}), {
    kind: 'not_leader',
    leader: 'c2',
  });
  await assert.rejects(connectPeer({address, name: 'e1', peerKey: 'wrong'}), {
    kind: 'unauthenticated',
  });
  link.close();
  await server.stop();
});

test('an answer that exceeds a frame fails its request, and the link goes on', async () => {
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'k',
    methods: {
      answerLong: () => 'x'.repeat(MAX_FRAME_BYTES),
      answerShort: () => 'x',
    },
  });
  const address = {host: HOST, port: await server.start()};
  const link = await connectPeer({address, name: 'e1', peerKey: 'k'});
  await assert.rejects(link.request('answerLong', {}), {kind: 'frame_invalid'});
  assert.equal(await link.request('answerShort', {}), 'x');
  link.close();
  await server.stop();
});

test('a stranger that does not read its answers is disconnected', async () => {
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'k',
    methods: {},
  });
  const socket = connect({host: HOST, port: await server.start()});
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('error', () => {});
  socket.pause();
  const call = encodeFrame({jsonrpc: '2.0', id: 1, method: 'unknown'});
  const calls = Buffer.concat(new Array<Buffer>(1_000).fill(call));
  const send = () => {
    while (!socket.destroyed && socket.write(calls));
  };
  socket.on('drain', send);
  send();
  await closed;
  await server.stop();
});

test('a silent link closes itself and fails its pending requests', async () => {
  const clock = FakeTimers.install();
  try {
    const silent: MessageChannel = {open() {}, send() {}, close() {}};
    const link = new PeerLink(silent, {});
    const waiting = assert.rejects(link.request('any', {}, 60_000), {
      kind: 'link_closed',
    });
    await clock.tickAsync(1_900);
    assert.equal(link.isClosed, false);
    await clock.tickAsync(700);
    assert.equal(link.isClosed, true);
    await waiting;
  } finally {
    clock.uninstall();
  }
});

// Guards against a large message that is begun anew again and again on a slow link.
test('a link stays open while much of a large message arrives, and closes once nothing does', async () => {
  const clock = FakeTimers.install();
  try {
    let receiveBytes: (count: number) => void = () => {};
    const slow: MessageChannel = {
      open: (onMessage, onClose, onBytes) => {
        receiveBytes = onBytes;
      },
      send() {},
      close() {},
    };
    const link = new PeerLink(slow, {});
    for (let part = 0; part < 10; part++) {
      await clock.tickAsync(1_500);
      receiveBytes(10_000);
    }
    assert.equal(link.isClosed, false);
    for (let part = 0; part < 10; part++) {
      await clock.tickAsync(300);
      receiveBytes(1);
    }
    assert.equal(link.isClosed, true);
  } finally {
    clock.uninstall();
  }
});

test('a stopping server finishes the request that it serves', async () => {
  let finish = () => {};
  const served = new Promise<void>(resolve => {
    finish = resolve;
  });
  let hasBegun = () => {};
  const begun = new Promise<void>(resolve => {
    hasBegun = resolve;
  });
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'k',
    methods: {
      wait: async () => {
        hasBegun();
        await served;
        return 'whole';
      },
    },
  });
  const address = {host: HOST, port: await server.start()};
  const link = await connectPeer({address, name: 'e1', peerKey: 'k'});
  const answer = link.request('wait', {});
  await begun;
  const stopped = server.stop();
  await assert.rejects(connectPeer({address, name: 'e2', peerKey: 'k'}), {
    kind: 'link_closed',
  });
  finish();
  assert.equal(await answer, 'whole');
  await stopped;
});

test('a link that has gone silent does not delay a new link of the same peer', async () => {
  const timeouts = {
    heartbeatMs: 20,
    silenceTimeoutMs: 100,
    requestTimeoutMs: 5_000,
  };
  const methods = {read: () => 'fresh'};
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'k',
    methods,
    timeouts,
  });
  const address = {host: HOST, port: await server.start()};
  const healthy = await connectPeer({
    address,
    name: 'e1',
    peerKey: 'k',
    timeouts,
  });
  // Simulates a connection whose state a device between the two ends, such as a NAT, has lost.
  let isClosedByServer = false;
  const silent = connect(address).on('close', () => {
    isClosedByServer = true;
  });
  await once(silent, 'connect');
  const fresh = await connectPeer({
    address,
    name: 'e1',
    peerKey: 'k',
    timeouts,
  });
  assert.equal(await fresh.request('read', {}), 'fresh');
  await once(silent.resume(), 'close');
  assert.equal(isClosedByServer, true);
  assert.equal(
    await healthy.request('read', {}),
    'fresh',
    'other links are not affected',
  );
  healthy.close();
  fresh.close();
  await server.stop();
});

test('frames split at any byte decode to the same messages', () => {
  const bytes = Buffer.concat([encodeFrame({a: 1}), encodeFrame({b: 'ñ'})]);
  for (let cut = 0; cut <= bytes.length; cut++) {
    const decoder = new FrameDecoder();
    const messages = [
      ...decoder.push(bytes.subarray(0, cut)),
      ...decoder.push(bytes.subarray(cut)),
    ];
    assert.deepEqual(messages, [{a: 1}, {b: 'ñ'}]);
  }
});

test('a frame that is not a JSON object closes the link without throwing', () => {
  for (const message of [null, 7, 'text', [], [null]]) {
    let receive: (message: unknown) => void = () => {};
    const channel: MessageChannel = {
      open: onMessage => {
        receive = onMessage;
      },
      send() {},
      close() {},
    };
    const link = new PeerLink(channel, {});
    receive(message);
    assert.equal(link.isClosed, true);
  }
});
