import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SycamoreheadError} from '@sycamorehead/schema';
import FakeTimers from '@sinonjs/fake-timers';
import {FrameDecoder, encodeFrame} from '../lib/FrameDecoder.js';
import {MessageChannel} from '../lib/MessageChannel.js';
import {PeerLink} from '../lib/PeerLink.js';
import {WireServer} from '../lib/WireServer.js';
import {connectPeer} from '../lib/connectPeer.js';

const HOST = '127.0.0.1';

test('a link carries results and typed errors once the key is proved', async () => {
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

test('a silent link closes itself and fails what waits on it', async () => {
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

test('frames cut at any byte decode to the same messages', () => {
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
