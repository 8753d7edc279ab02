// Stand-ins for backend servers (replicas): a plain service and what it registers.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** One plain replica that registers itself and records every request that it runs. */
export class Replica {
  runs = [];
  state = 'ready';
  sequence = 0;
  /** What it does with a request that it runs. */
  handle = (run, response) => this.answer(run, response);

  constructor(
    deployment,
    {
      id,
      service,
      version = 'v1',
      slots = 64,
      host = '127.0.0.1',
      zone = 'zone-a',
    },
  ) {
    Object.assign(this, {deployment, id, service, version, slots, host, zone});
    this.born = Date.now();
    this.server = http.createServer(
      (message, response) => void this.serve(message, response),
    );
    this.server.keepAliveTimeout = 15_000;
    // No limit, so that a request with many headers is recorded whole.
    this.server.maxHeadersCount = 0;
  }

  async listen(port = 0) {
    await new Promise(resolve =>
      this.server.listen({host: this.host, port}, resolve),
    );
    this.port = this.server.address().port;
  }

  /** Registers until it is told to stop. */
  async beat() {
    while (!this.isClosed) {
      await this.register();
      await sleep(1_000);
    }
  }

  async register() {
    this.sequence += 1;
    const body = {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      warmup_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    };
    for (const machine of this.deployment.controls) {
      const reply = await this.deployment.call(
        machine,
        'PUT',
        `/api/instances/${this.id}`,
        body,
      );
      if (reply?.status === 200) return true;
    }
    return false;
  }

  async serve(message, response) {
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (message.url === '/healthz') {
      response.writeHead(200, {'X-Sycamorehead-Instance-Id': this.id}).end();
      return;
    }
    const expected = message.headers['x-sycamorehead-expect-instance'];
    const id = message.headers['x-sycamorehead-request-id'];
    if (expected !== undefined && expected !== this.id) {
      response
        .writeHead(421, {
          'X-Sycamorehead-Request-Id': id,
          'X-Sycamorehead-Instance-Id': this.id,
          'X-Sycamorehead-Not-Executed': '1',
        })
        .end();
      return;
    }
    const run = {
      at: this.deployment.now(),
      id,
      method: message.method,
      target: message.url,
      raw: message.rawHeaders,
      body,
    };
    this.runs.push(run);
    await this.handle(run, response, message);
  }

  answer(
    run,
    response,
    status = 200,
    body = Buffer.from(`done ${run.id} by ${this.id}`),
  ) {
    response.writeHead(status, {
      'X-Sycamorehead-Request-Id': run.id,
      'X-Sycamorehead-Upstream-Signature': `sig-${this.id}`,
      'Content-Length': body.length,
    });
    response.end(body);
  }

  async close() {
    this.isClosed = true;
    this.server.close();
    this.server.closeAllConnections();
  }
}
