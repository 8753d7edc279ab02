/** Small clients of the fleet: the operator, and a caller that sends one request. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

/** Sends one call on a connection of its own; resolves to its outcome, and never rejects. */
export function call({
  host,
  port,
  method,
  path,
  headers = {},
  body,
  ms = 1000,
}) {
  return new Promise(resolve => {
    const request = http.request({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
    });
    const finish = result => {
      clearTimeout(timer);
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish({status: 0, reason: `no answer within ${ms} ms`});
      request.destroy();
    }, ms);
    request.on('error', error => finish({status: 0, reason: error.message}));
    request.on('response', message => {
      const chunks = [];
      message.on('data', chunk => chunks.push(chunk));
      message.on('error', error => finish({status: 0, reason: error.message}));
      message.on('end', () =>
        finish({
          status: message.statusCode,
          headers: message.headers,
          isComplete: message.complete,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    request.end(body);
  });
}

/**
 * An operator: sends an order to the nodes in the given order, and moves on to the next one after a failure, a 5xx or
 * a second without an answer, as PROTOCOL.md says.
 */
export async function order(record, hosts, port, method, path, document) {
  const body = document === undefined ? undefined : JSON.stringify(document);
  const headers =
    body === undefined
      ? {}
      : {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        };
  const until = performance.now() + 20_000;
  for (let index = 0; performance.now() < until; index += 1) {
    const host = hosts[index % hosts.length];
    const result = await call({host, port, method, path, headers, body});
    const {status, reason = ''} = result;
    record(`operator: ${method} ${path} at ${host}: ${status} ${reason}`);
    if (status >= 200 && status < 300) return result;
    if (status >= 400 && status < 500) throw new Error(`${path}: ${status}`);
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  throw new Error(`${path}: not acknowledged`);
}
