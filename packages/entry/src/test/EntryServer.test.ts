import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {ClientLimits} from '@sycamorehead/wire';
import {EntryServer} from '../lib/EntryServer.js';

const HOST = '127.0.0.1';

test('a target that is no URL is refused, and the server goes on', async () => {
  const server = new EntryServer([], new ClientLimits());
  const port = await server.start(HOST, 0);
  const socket = connect({host: HOST, port});
  for (const [target, status] of [
    ['//', 400],
    ['/unknown', 404],
  ]) {
    socket.write(`GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`);
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    assert.match(bytes.toString(), new RegExp(`^HTTP/1.1 ${status} `));
  }
  socket.destroy();
  await server.stop();
});
