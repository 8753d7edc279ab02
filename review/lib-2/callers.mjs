/**
 * A small deployment like that of sites/cucharas-plata.toml with one entry, its backend servers, and ordinary callers on
 * kept connections, for cases in which other callers are a burden.
 */
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {Fleet, pause} from './fleet.mjs';
import {order} from './http.mjs';
import {StandInServer} from './server.mjs';

export const MAX_HEADER_BYTES = 16_384;
const ZONES = ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'];
/** A script runs for 120 seconds at most. */
const MAX_RUN_MS = 110_000;
const ORDINARY_CALLERS = 30;
/** The rule LOST allows so many requests. */
const MAX_LOST = 3;
/** Drafts of 76 events, as on the sheet. */
const EVENTS = 76;
const FIRST_EVENT_MS = 500;
const EVENT_MS = 250;
const ID = 'x-sycamorehead-request-id';
const SIGNATURE = 'x-sycamorehead-upstream-signature';

/** A model replica: a stream of events, until it is complete or its caller has gone. */
class DraftServer extends StandInServer {
  serve(id, response) {
    let event = 0;
    const send = () => {
      if (response.destroyed) return;
      if (event === 0) {
        response.writeHead(200, {
          [ID]: id,
          [SIGNATURE]: `${this.id}.${id}`,
          'content-type': 'text/event-stream',
        });
      }
      event += 1;
      response.write(`id: ${event}\ndata: ${'w'.repeat(20)}\n\n`);
      if (event === EVENTS) response.end();
      else setTimeout(send, EVENT_MS);
    };
    setTimeout(send, FIRST_EVENT_MS);
  }
}

function buildConfiguration() {
  const route = (name, kind, service, fields) => ({
    name,
    hostname: 'a.example',
    path_prefix: `/${name}/`,
    route_kind: kind,
    priority: 2,
    service,
    max_attempts: 3,
    public: true,
    ...fields,
  });
  const plain = {timeout_ms: 4_000, target_latency_ms: 386};
  const engine = {
    slots: 64,
    kv_capacity: 708_355,
    models: [{name: 'm0', cost: 0.017}],
  };
  return {
    version: 1,
    routes: [
      route('draft', 'streaming', 'drafts', {
        timeout_ms: 25_000,
        target_latency_ms: 3_000,
        resumable: true,
        inter_token_ms: 1_000,
      }),
      route('pay', 'unsafe', 'orders', plain),
      route('look', 'safe', 'orders', plain),
    ],
    services: [
      {
        name: 'drafts',
        health_path: '/healthz',
        max_connections: 370,
        inference_engine: engine,
      },
      {name: 'orders', health_path: '/healthz', max_connections: 110},
    ],
    limits: {
      max_header_bytes: MAX_HEADER_BYTES,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** One run of a case: a crowd comes to an entry that serves ordinary callers. */
export class CallerCase {
  constructor({entries = 1, slots = 6, workMs = 80} = {}) {
    this.slots = slots;
    this.workMs = workMs;
    this.lines = [];
    this.startedAt = performance.now();
    this.servers = [];
    this.ordinary = [];
    this.isSending = true;
    this.peakMb = 0;
    const core = (number, zone) => ({
      name: `core-${number}`,
      role: 'control',
      zone: ZONES[zone],
    });
    this.fleet = new Fleet(
      [
        core(1, 0),
        core(2, 0),
        core(3, 1),
        core(4, 1),
        core(5, 2),
        ...Array.from({length: entries}, (unused, index) => ({
          name: `edge-${index + 1}`,
          role: 'entry',
          zone: ZONES[0],
        })),
      ],
      {
        zones: Object.fromEntries(ZONES.map(zone => [zone, 'uy-sur'])),
        fault_tolerance: {machines: 2, zones: 0, regions: 0},
        heartbeat_ms: 1_200,
        bounds: {
          grace_s: 8,
          retry_budget_ratio: 0.9,
          budget_slack: 56,
          retry_window_s: 10,
          canary_share: 0.15,
          session_s: 5,
        },
        limits: {bandwidth_mbps: 1_000, memory_mb: 350, max_fds: 4_100},
        core_limits: {bandwidth_mbps: 1_000, memory_mb: 346, max_fds: 4_096},
      },
    );
  }

  record(text) {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${at} s  ${text}`);
  }

  /** Runs the case, writes its record, and exits with its status. */
  async run(folder, sendCrowd) {
    let status = 2;
    try {
      const limit = pause(MAX_RUN_MS).then(() => {
        throw new Error('took too long');
      });
      status = await Promise.race([this.play(sendCrowd), limit]);
    } catch (error) {
      this.record(`could not run: ${error.stack}`);
    } finally {
      for (const server of this.servers) server.stop();
      await this.fleet.stop();
    }
    this.record(`exit ${status}`);
    const text = `${this.lines.join('\n')}\n`;
    fs.writeFileSync(path.join(folder, 'record.txt'), text);
    process.exit(status);
  }

  async play(sendCrowd) {
    const {fleet} = this;
    await fleet.start();
    const controls = fleet.listByRole('control').map(({ip}) => ip);
    await this.startServers(controls);
    await order(
      text => this.record(text),
      controls,
      fleet.control,
      'PUT',
      '/api/config',
      buildConfiguration(),
    );
    await pause(6_000);
    const edge = fleet.machines.get('edge-1');
    const watch = setInterval(() => {
      this.peakMb = Math.max(this.peakMb, this.readRssMb());
    }, 50);
    const calls = Array.from({length: ORDINARY_CALLERS}, (unused, caller) =>
      this.sendOrdinary(edge.ip, caller),
    );
    await pause(4_000);
    this.record(`edge-1 uses ${this.readRssMb()} MB before the crowd`);
    await sendCrowd({host: edge.ip, port: fleet.front, edge});
    await pause(500);
    this.isSending = false;
    await Promise.all(calls);
    clearInterval(watch);
    return this.judge(edge);
  }

  /** Resident memory of the entry, in megabytes. */
  readRssMb() {
    const {child} = this.fleet.machines.get('edge-1');
    try {
      const text = fs.readFileSync(`/proc/${child.pid}/status`, 'utf8');
      const kilobytes = /VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0;
      return Math.round(Number(kilobytes) / 1024);
    } catch {
      return 0;
    }
  }

  async startServers(controls) {
    const list = [
      ...Array.from({length: 8}, (unused, index) => [
        DraftServer,
        {id: `m-${index + 1}`, service: 'drafts', slots: 64},
      ]),
      ...Array.from({length: 3}, (unused, index) => [
        StandInServer,
        {
          id: `i-${index + 1}`,
          service: 'orders',
          slots: this.slots,
          workMs: this.workMs,
        },
      ]),
    ];
    for (const [index, [Type, fields]] of list.entries()) {
      const server = new Type({
        ...fields,
        host: `${this.fleet.net}.${100 + index}`,
        zone: ZONES[index % 3],
        controls,
        controlPort: this.fleet.control,
      });
      await server.start();
      this.servers.push(server);
    }
  }

  /** Sends ordinary requests on one kept connection, one after the other. */
  async sendOrdinary(host, caller) {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let number = 0; this.isSending; number += 1) {
      const id = `o${caller}-${number}`;
      const result = await this.sendOne(host, agent, id, number % 2 === 0);
      this.ordinary.push({id, ...result});
      await pause(20);
    }
    agent.destroy();
  }

  sendOne(host, agent, id, isUnsafe) {
    return new Promise(resolve => {
      const request = http.request({
        host,
        port: this.fleet.front,
        method: isUnsafe ? 'POST' : 'GET',
        path: isUnsafe ? '/pay/1' : '/look/1',
        agent,
        headers: {
          host: 'a.example',
          [ID]: id,
          'x-sycamorehead-deadline-ms': '4000',
        },
      });
      const finish = outcome => {
        clearTimeout(timer);
        resolve({...outcome, isKept: request.reusedSocket});
      };
      const timer = setTimeout(() => {
        finish({status: 0, reason: 'gave up'});
        request.destroy();
      }, 4_000);
      request.on('error', error => finish({status: 0, reason: error.code}));
      request.on('response', message => {
        message.on('error', () => {});
        message.resume();
        message.on('end', () => finish({status: message.statusCode}));
      });
      request.end();
    });
  }

  /** Judges the rule LOST by what callers and servers saw, and whether the entry has ended by itself. */
  judge(edge) {
    const runs = new Set(
      this.servers.flatMap(server => server.runs.map(({id}) => id)),
    );
    const lost = this.ordinary.filter(
      ({id, status, reason, isKept}) =>
        isKept && status === 0 && reason !== 'gave up' && runs.has(id),
    );
    const served = this.ordinary.filter(({status}) => status === 200).length;
    this.record(
      `ordinary callers: ${this.ordinary.length} requests, ${served} served`,
    );
    for (const {id, reason} of lost) {
      this.record(`${id} was run by a server; its kept connection: ${reason}`);
    }
    this.record(`${lost.length} such requests; the rule allows ${MAX_LOST}`);
    this.record(`peak of edge-1: ${this.peakMb} MB`);
    this.record(`exits of edge-1: ${JSON.stringify(edge.exits)}`);
    const fatal = /FATAL ERROR[^\n]*/.exec(edge.output.join(''))?.[0];
    if (fatal) this.record(`last words of edge-1: ${fatal}`);
    if (served < 50) return 2;
    return lost.length > MAX_LOST || edge.exits.length > 0 ? 1 : 0;
  }
}

/** Opens connections that each send the same bytes and stay open, until the time is over or the entry has ended. */
export async function sendBytes(scenario, {host, port, edge}, options) {
  const {bytes, connections, observedMs} = options;
  const statuses = {};
  const tally = name => (statuses[name] = (statuses[name] ?? 0) + 1);
  scenario.record(`${connections} connections send ${bytes.length} bytes each`);
  const sockets = Array.from({length: connections}, () => {
    const socket = net.connect({host, port});
    socket.on('error', () => {});
    socket.once('data', chunk => tally(chunk.toString('latin1', 9, 12)));
    socket.write(bytes);
    return socket;
  });
  const until = performance.now() + observedMs;
  while (performance.now() < until && edge.exits.length === 0) {
    await pause(500);
    scenario.record(`edge-1 uses ${scenario.readRssMb()} MB`);
  }
  for (const socket of sockets) socket.destroy();
  scenario.record(`answers to the crowd: ${JSON.stringify(statuses)}`);
}
