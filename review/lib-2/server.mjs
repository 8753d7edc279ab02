/** A stand-in for a backend server of a plain service: one answer a request, and heartbeats. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {call} from './http.mjs';

const ID_HEADER = 'x-sycamorehead-request-id';

export class StandInServer {
  constructor({
    id,
    host,
    service,
    zone,
    controls,
    controlPort,
    slots = 6,
    workMs = 5,
    version = 'v1',
  }) {
    Object.assign(this, {
      id,
      host,
      service,
      zone,
      controls,
      controlPort,
      slots,
      workMs,
      version,
    });
    this.runs = [];
    this.sequence = 0;
    this.born = Date.now();
    this.server = http.createServer((message, response) =>
      this.answer(message, response),
    );
  }

  async start() {
    await new Promise(resolve =>
      this.server.listen({host: this.host, port: 0}, resolve),
    );
    this.port = this.server.address().port;
    this.isRunning = true;
    void this.beat();
  }

  stop() {
    this.isRunning = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  answer(message, response) {
    const at = performance.now();
    const chunks = [];
    message.on('data', chunk => chunks.push(chunk));
    message.on('error', () => {});
    message.on('end', () => {
      const id = message.headers[ID_HEADER];
      const expected = message.headers['x-sycamorehead-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {
          [ID_HEADER]: id ?? '',
          'x-sycamorehead-instance-id': this.id,
        });
        response.end();
        return;
      }
      this.runs.push({id, at});
      this.serve(id ?? '', response);
    });
  }

  /** Works on a request and answers it. */
  serve(id, response) {
    const body = `answer to ${id} by ${this.id}`;
    setTimeout(() => {
      response.writeHead(200, {
        [ID_HEADER]: id,
        'x-sycamorehead-upstream-signature': `${this.id}.${id}`,
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    }, this.workMs);
  }

  /** Sends heartbeats to any node, and to the next one if it is not acknowledged within a second. */
  async beat() {
    while (this.isRunning) {
      const startedAt = performance.now();
      const first = Math.floor(Math.random() * this.controls.length);
      for (let index = 0; index < this.controls.length; index += 1) {
        this.sequence += 1;
        const body = JSON.stringify({
          service: this.service,
          address: `${this.host}:${this.port}`,
          zone: this.zone,
          version: this.version,
          slots: this.slots,
          state: 'ready',
          warmup_left_ms: 0,
          born: this.born,
          sequence: this.sequence,
        });
        const {status} = await call({
          host: this.controls[(first + index) % this.controls.length],
          port: this.controlPort,
          method: 'PUT',
          path: `/api/instances/${this.id}`,
          headers: {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
          },
          body,
        });
        if (status >= 200 && status < 300) break;
      }
      const leftMs = 1_200 - (performance.now() - startedAt);
      await new Promise(resolve => setTimeout(resolve, Math.max(50, leftMs)));
    }
  }
}
