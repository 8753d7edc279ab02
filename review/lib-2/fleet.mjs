/**
 * Starts the programs of the deploy file on loopback addresses, with settings rendered from its template, and
 * ends them by their process ids.
 */
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';

const ROOT = path.resolve(import.meta.dirname, '../..');
const TEMPLATE = fs.readFileSync(
  path.join(ROOT, 'deploy/settings.env'),
  'utf8',
);
const DEPLOY = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');

/** Waits for a time in milliseconds. */
export function pause(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Reads the words of the command that the deploy file gives to a role. */
function readCommand(role) {
  const section = DEPLOY.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "([^"]+)"/m.exec(section)?.[1];
  if (!run) throw new Error(`no command of the role ${role}`);
  return run.split(' ');
}

function findValue(fields, name) {
  return name
    .split('.')
    .reduce((value, key) => (value === undefined ? value : value[key]), fields);
}

/** Fills in the template as DEPLOY.md says, for the placeholders that the project uses. */
export function renderSettings(fields) {
  const withTables = TEMPLATE.replace(
    /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g,
    (unused, name, body) => {
      const keys = Object.keys(findValue(fields, name) ?? {});
      return keys
        .map((key, index) =>
          body
            .replaceAll('{{@}}', key)
            .replaceAll('{{,}}', index < keys.length - 1 ? ',' : ''),
        )
        .join('');
    },
  );
  return withTables.replace(/\{\{([\w.]+)\}\}/g, (unused, name) => {
    const value = findValue(fields, name);
    if (value === undefined) return '';
    return Array.isArray(value) ? value.join(',') : String(value);
  });
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen({host, port}, () => server.close(() => resolve(true)));
  });
}

/** The machines of a small deployment, each with a loopback address of its own. */
export class Fleet {
  /**
   * `machines` lists `{name, role, zone}`; `fields` are the fields of the settings that all of them share.
   */
  constructor(machines, fields) {
    this.net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.fields = fields;
    /** Time after which a process that has ended starts again, in milliseconds; none does if it is 0. */
    this.restartMs = 0;
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => {
        this.kill();
        process.exit(2);
      });
    }
    this.machines = new Map();
    machines.forEach((machine, index) =>
      this.machines.set(machine.name, {
        ...machine,
        ip: `${this.net}.${index + 10}`,
        output: [],
        exits: [],
      }),
    );
  }

  /** Chooses ports that are free at all addresses. */
  async choosePorts() {
    const hosts = [...this.machines.values()].map(({ip}) => ip);
    for (let tries = 0; tries < 100; tries += 1) {
      const first = 20_000 + Math.floor(Math.random() * 10_000);
      const ports = [0, 1, 2, 3, 4].map(offset => first + offset);
      const checks = hosts.flatMap(host =>
        ports.map(port => canListen(host, port)),
      );
      if ((await Promise.all(checks)).every(Boolean)) {
        [this.internal, , this.front, this.ready, this.control] = ports;
        return;
      }
    }
    throw new Error('no free ports');
  }

  /** Starts all machines for the first time. */
  async start() {
    await this.choosePorts();
    for (const name of this.machines.keys()) this.startMachine(name, true);
  }

  listByRole(role) {
    return [...this.machines.values()].filter(machine => machine.role === role);
  }

  startMachine(name, bootstrap) {
    const machine = this.machines.get(name);
    const {ip, role, zone} = machine;
    const isControl = role === 'control';
    const dataDir = path.join(this.folder, name, 'data');
    fs.mkdirSync(path.join(this.folder, name), {recursive: true});
    if (isControl) fs.mkdirSync(dataDir, {recursive: true});
    const seeds = this.listByRole('control')
      .slice(0, 3)
      .map(control => `${control.ip}:${this.control}`);
    const settings = renderSettings({
      ...this.fields,
      limits: isControl ? this.fields.core_limits : this.fields.limits,
      node_name: name,
      ip,
      zone,
      internal_ports: [this.internal, this.internal + 15],
      seed_nodes: seeds,
      bootstrap,
      listen: isControl
        ? {control_plane: `${ip}:${this.control}`}
        : {frontend: `${ip}:${this.front}`, ready: `${ip}:${this.ready}`},
      data_dir: isControl ? dataDir : undefined,
    });
    const file = path.join(this.folder, name, 'node.env');
    fs.writeFileSync(file, settings);
    const [program, ...words] = readCommand(role);
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SYCAMOREHEAD_CONFIG: file,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.child = child;
    const keep = chunk => machine.output.push(String(chunk));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (machine.child === child) machine.child = undefined;
      machine.exits.push({code, signal, isWanted: machine.isEnding ?? false});
      if (!this.restartMs) return;
      // Like the platform, which starts a process that has ended again after a short delay.
      setTimeout(() => {
        if (!machine.isEnding) this.startMachine(name, false);
      }, this.restartMs);
    });
    return machine;
  }

  /** Sends a signal to the process of a machine that this fleet has started. */
  signal(name, signal) {
    const {child} = this.machines.get(name);
    if (child?.pid) process.kill(child.pid, signal);
  }

  /** Ends all processes, also if the script is ended before its time. */
  kill() {
    for (const machine of this.machines.values()) {
      machine.isEnding = true;
      if (!machine.child) continue;
      machine.child.kill('SIGCONT');
      machine.child.kill('SIGKILL');
    }
  }

  /** Ends all processes and removes their files. */
  async stop() {
    this.kill();
    while ([...this.machines.values()].some(({child}) => child))
      await pause(20);
    fs.rmSync(this.folder, {recursive: true, force: true});
  }
}
