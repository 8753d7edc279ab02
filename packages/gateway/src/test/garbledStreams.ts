import assert from 'node:assert/strict';
import {
  FakeServer,
  LAST_CHUNK,
  ServerScript,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {startGateway, startServer} from './startGateway.js';

/** Number of events of a whole stream. */
export const EVENT_COUNT = 4;

/** Formats the events of a whole stream, from an id on. */
export function listEvents(from: number): string[] {
  const ids = Array.from({length: EVENT_COUNT}, (_, index) => index + 1);
  return ids.filter(id => id >= from).map(formatEvent);
}

/** Sends the events behind the last one that the caller has. */
const sendRest: ServerScript = (request, socket) => {
  const last = Number(request.headers.get('last-event-id') ?? 0);
  const parts = listEvents(last + 1).map(formatChunk);
  socket.write(formatStreamHead(request) + parts.join('') + LAST_CHUNK);
};

/** Starts a server that garbles the first stream and then is listed as one that leaves. */
export async function startGarbled(isResumable: boolean, script: ServerScript) {
  const garbling: FakeServer = await startServer('s1', (request, socket) => {
    const isFirst = garbling.received.length === 1;
    (isFirst ? script : sendRest)(request, socket);
  });
  const gateway = await startGateway({kind: 'streaming', isResumable}, [
    garbling,
  ]);
  return {gateway, garbling};
}

/** Reads the body of a stream that has to be whole. */
export function readWhole(text: string): string {
  assert.match(text, /^HTTP\/1\.1 200 /);
  assert.ok(text.endsWith(LAST_CHUNK), text);
  const body = text.slice(text.indexOf('\r\n\r\n') + 4, -LAST_CHUNK.length);
  return body.replace(/[0-9a-f]+\r\n([^]*?\n\r?\n)\r\n/g, '$1');
}
