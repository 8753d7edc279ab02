/** The thread of all EndlessServers of a process. */
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {parentPort} from 'node:worker_threads';
import type {
  EndlessAnswer,
  EndlessEvent,
  EndlessOrder,
  EndlessPace,
} from './EndlessServer.js';

const BLOCK_BYTES = 64 * 1024;
/** Interval between two bytes of a slow answer, in milliseconds. */
const BYTE_INTERVAL_MS = 4;
const HEAD_END = '\r\n\r\n';

interface RunningServer {
  readonly listener: Server;
  readonly sockets: Set<Socket>;
}

const running = new Map<number, RunningServer>();

const SENDERS: Readonly<
  Record<EndlessPace, (socket: Socket, filler: string) => void>
> = {fast: sendFast, slow: sendSlowly};

function sendFast(socket: Socket, filler: string): void {
  const copies = Math.ceil(BLOCK_BYTES / filler.length);
  const block = Buffer.from(filler.repeat(copies));
  const send = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', send);
  send();
}

function sendSlowly(socket: Socket, filler: string): void {
  let sent = 0;
  const timer = setInterval(() => {
    socket.write(filler.charAt(sent % filler.length));
    sent += 1;
  }, BYTE_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
}

function announceEvent(event: EndlessEvent): void {
  parentPort?.postMessage(event);
}

/** Answers the first request of a connection. */
function answerConnection(
  server: number,
  socket: Socket,
  {pace, opening, filler, keepsHalfOpen}: EndlessAnswer,
): void {
  let head = '';
  socket.on('error', () => {});
  socket.on('end', () => {
    if (!keepsHalfOpen) socket.destroy();
  });
  socket.on('data', function collect(chunk: Buffer) {
    head += chunk.toString('latin1');
    if (!head.includes(HEAD_END)) return;
    socket.off('data', collect);
    socket.resume();
    socket.on('close', () => announceEvent({type: 'closed', server}));
    announceEvent({type: 'received', server});
    const id = /^x-request-id: *(.*)\r$/im.exec(head)?.[1] ?? '';
    socket.write(opening.replaceAll('{id}', id));
    SENDERS[pace](socket, filler);
  });
}

function startServer(server: number, answer: EndlessAnswer): void {
  const sockets = new Set<Socket>();
  const listener = createServer({allowHalfOpen: true}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    answerConnection(server, socket, answer);
  });
  running.set(server, {listener, sockets});
  listener.listen(0, '127.0.0.1', () => {
    const {port} = listener.address() as AddressInfo;
    announceEvent({type: 'listening', server, port});
  });
}

function stopServer(server: number): void {
  const {listener, sockets} = running.get(server) ?? {};
  for (const socket of sockets ?? []) socket.destroy();
  running.delete(server);
  listener?.close(() => announceEvent({type: 'stopped', server}));
}

parentPort?.on('message', (order: EndlessOrder) => {
  if (order.type === 'listen') startServer(order.server, order.answer);
  else stopServer(order.server);
});
