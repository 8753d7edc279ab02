// Starts the programs of the deploy file on loopback addresses, and ends them again.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';

const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../..',
);
const GRACE_S = 8;

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "([^"]*)"$/m.exec(section)?.[1];
  if (!run) throw new Error(`${role}: no command in the deploy file`);
  return run.split(' ');
}

/** Renders the settings template for a small deployment: plain values and lists only. */
function renderSettings(values) {
  const text = readFileSync(path.join(ROOT, 'deploy/settings.env'), 'utf8');
  return text.replace(/\{\{([\w.]+)\}\}/g, (unused, name) => {
    const value = values[name];
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** Finds a port that is free on all given addresses, and the next ones after it. */
async function findPorts(ips, count) {
  for (let first = 20_000 + (process.pid % 10_000); ; first += count) {
    const ports = Array.from({length: count}, (unused, index) => first + index);
    const checks = ips.flatMap(ip => ports.map(port => isFree(ip, port)));
    if ((await Promise.all(checks)).every(free => free)) return ports;
  }
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen({host, port}, () => server.close(() => resolve(true)));
  });
}

/** One process of the system on one "machine", which is a loopback address. */
class Machine {
  exits = [];
  child;
  isEnding = false;

  constructor(deployment, role, ip) {
    this.deployment = deployment;
    this.role = role;
    this.ip = ip;
    this.folder = path.join(deployment.folder, ip);
    mkdirSync(path.join(this.folder, 'disk'), {recursive: true});
  }

  start(isFirstStart = false) {
    const settings = path.join(this.folder, 'settings.env');
    writeFileSync(
      settings,
      renderSettings({
        ...this.deployment.values,
        node_name: this.ip,
        ip: this.ip,
        bootstrap: isFirstStart,
        'listen.frontend': `${this.ip}:${this.deployment.ports.frontend}`,
        'listen.ready': `${this.ip}:${this.deployment.ports.ready}`,
        'listen.control_plane': `${this.ip}:${this.deployment.ports.control}`,
        data_dir: this.role === 'control' ? path.join(this.folder, 'disk') : '',
      }),
    );
    const log = openSync(path.join(this.folder, 'log'), 'a');
    const [program, ...words] = readCommand(this.role);
    this.isEnding = false;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SYCAMOREHEAD_CONFIG: settings,
      },
      stdio: ['ignore', log, log],
    });
    this.child = child;
    child.once('exit', (code, signal) => {
      if (this.child === child) this.child = undefined;
      if (this.isEnding) return;
      this.exits.push({at: this.deployment.now(), code, signal});
      this.deployment.onExit(this, code ?? signal);
      // The platform starts a process that has ended again after a short delay.
      setTimeout(() => {
        if (!this.deployment.isStopped && !this.child) this.start();
      }, 500);
    });
  }

  signal(name) {
    if (name === 'SIGKILL' || name === 'SIGTERM') this.isEnding = true;
    this.child?.kill(name);
  }

  async end() {
    const {child} = this;
    this.isEnding = true;
    if (!child) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  wipeDisk() {
    rmSync(path.join(this.folder, 'disk'), {recursive: true, force: true});
    mkdirSync(path.join(this.folder, 'disk'), {recursive: true});
  }

  readLog() {
    return readFileSync(path.join(this.folder, 'log'), 'utf8');
  }
}

/** A small deployment: core machines with `control`, edge machines with `entry`. */
export class Deployment {
  isStopped = false;
  startedAt = performance.now();
  folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
  onExit = () => {};

  static async create({controls, entries, faults}) {
    const deployment = new Deployment();
    const network = `127.${10 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;
    const coreIps = Array.from(
      {length: controls},
      (unused, i) => `${network}.${i + 1}`,
    );
    const edgeIps = Array.from(
      {length: entries},
      (unused, i) => `${network}.${i + 101}`,
    );
    deployment.network = network;
    const [frontend, ready, control, first, second] = await findPorts(
      [...coreIps, ...edgeIps],
      5,
    );
    deployment.ports = {frontend, ready, control};
    deployment.values = {
      zone: 'zone-a',
      'internal_ports.0': first,
      'internal_ports.1': second,
      seed_nodes: coreIps.slice(0, 3).map(ip => `${ip}:${control}`),
      'fault_tolerance.machines': faults,
      heartbeat_ms: 1200,
      'bounds.grace_s': GRACE_S,
      'bounds.retry_budget_ratio': 0.9,
      'bounds.budget_slack': 54,
      'bounds.retry_window_s': 10,
      'bounds.canary_share': 0.15,
      'bounds.session_s': 5,
    };
    deployment.controls = coreIps.map(
      ip => new Machine(deployment, 'control', ip),
    );
    deployment.entries = edgeIps.map(
      ip => new Machine(deployment, 'entry', ip),
    );
    return deployment;
  }

  get machines() {
    return [...this.controls, ...this.entries];
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  start() {
    // No process outlives the script, however it ends.
    process.once('exit', () => {
      for (const {child} of this.machines) child?.kill('SIGKILL');
    });
    for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
      process.once(name, () => process.exit(2));
    }
    for (const machine of this.machines) machine.start(true);
  }

  async stop() {
    this.isStopped = true;
    await Promise.all(this.machines.map(machine => machine.end()));
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Calls the control API of one machine; undefined if there is no answer in time. */
  call(machine, method, url, body, timeoutMs = 1_000) {
    const text =
      body === undefined || typeof body === 'string'
        ? body
        : JSON.stringify(body);
    return new Promise(resolve => {
      const request = http.request({
        host: machine.ip,
        port: this.ports.control,
        method,
        path: url,
        agent: false,
        headers: {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(text ?? ''),
        },
      });
      const timer = setTimeout(() => request.destroy(), timeoutMs);
      const end = reply => {
        clearTimeout(timer);
        resolve(reply);
      };
      request.on('error', () => end(undefined));
      request.on('close', () => end(undefined));
      request.on('response', response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => end(undefined));
        response.on('end', () =>
          end({
            status: response.statusCode,
            text: Buffer.concat(chunks).toString('utf8'),
          }),
        );
      });
      request.end(text);
    });
  }

  /** Sends an order to one control machine after another until it is acknowledged. */
  async order(method, url, body, timeoutMs = 20_000) {
    const text = JSON.stringify(body);
    const until = performance.now() + timeoutMs;
    for (let turn = 0; performance.now() < until; turn += 1) {
      const machine = this.controls[turn % this.controls.length];
      const reply = await this.call(machine, method, url, text, 1_500);
      if (reply?.status === 200) return true;
      if (reply && reply.status >= 400 && reply.status < 500)
        throw new Error(`${method} ${url}: ${reply.status} ${reply.text}`);
      await sleep(50);
    }
    return false;
  }
}
