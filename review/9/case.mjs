/**
 * An end of an evacuation that a frozen control machine was sent, and that the operator has sent elsewhere since, is
 * carried out when the machine wakes: it ends the evacuation that was ordered meanwhile.
 */
import fs from 'node:fs';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Fleet, pause} from '../lib-2/fleet.mjs';
import {call, order} from '../lib-2/http.mjs';
import {StandInServer} from '../lib-2/server.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['quito-norte', 'quito-sur', 'cumbaya'];
/** Settings like those of demands/tipoandina-quito-grown.toml. */
const BOUNDS = {
  grace_s: 8,
  retry_budget_ratio: 0.9,
  budget_slack: 162,
  retry_window_s: 10,
  canary_share: 0.0975,
  warmup_overshoot: 1.5,
  warmup_slack: 5,
  session_s: 8.5,
};
const EVACUATION_MS = 5_000;
const TOUCH_MS = 4_000;
const OUTER_MS = 6_000;
const FREEZE_MS = 4_000;
const OBSERVED_MS = 8_000;

const lines = [];
const startedAt = performance.now();
const record = text => {
  const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
  lines.push(`${at} s  ${text}`);
};

const machine = (name, role, zone) => ({name, role, zone: ZONES[zone]});
const fleet = new Fleet(
  [
    machine('core-1', 'control', 0),
    machine('core-2', 'control', 0),
    machine('core-3', 'control', 1),
    machine('core-4', 'control', 1),
    machine('core-5', 'control', 2),
    machine('edge-1', 'entry', 0),
    machine('edge-2', 'entry', 1),
  ],
  {
    zones: Object.fromEntries(ZONES.map(zone => [zone, 'ec-sierra'])),
    fault_tolerance: {machines: 2, zones: 1, regions: 0},
    heartbeat_ms: 1_200,
    bounds: BOUNDS,
    limits: {bandwidth_mbps: 7, memory_mb: 250, max_fds: 4_100},
    core_limits: {bandwidth_mbps: 1_000, memory_mb: 346, max_fds: 4_096},
  },
);
const servers = [];
const sent = new Map();
const answers = new Map();
let isSending = true;

async function sendRequests() {
  const edges = fleet.listByRole('entry');
  for (let number = 0; isSending; number += 1) {
    const {ip} = edges[number % edges.length];
    const id = `r${number}`;
    sent.set(id, performance.now());
    void call({
      host: ip,
      port: fleet.front,
      method: 'GET',
      path: '/look/1',
      headers: {
        host: 'a.example',
        'x-sycamorehead-request-id': id,
        'x-sycamorehead-deadline-ms': '1037',
      },
      ms: 1_200,
    }).then(({status}) => answers.set(id, status));
    await pause(40);
  }
}

/** Finds a control machine that does not lead: each line on leadership names its term. */
function findFollower() {
  const controls = fleet.listByRole('control').map(control => {
    const terms = control.output
      .join('')
      .matchAll(/event=leading .*?\bterm=(\d+)/g);
    const term = Math.max(0, ...[...terms].map(([, text]) => Number(text)));
    return {control, term};
  });
  controls.sort((one, other) => one.term - other.term);
  return controls[0].control;
}

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'look',
      hostname: 'a.example',
      path_prefix: '/look/',
      route_kind: 'safe',
      timeout_ms: 1_038,
      target_latency_ms: 200,
      priority: 2,
      service: 'store',
      max_attempts: 3,
      public: true,
    },
  ],
  services: [{name: 'store', health_path: '/healthz', max_connections: 430}],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

async function startServers(controls) {
  for (const [index, zone] of ZONES.entries()) {
    const server = new StandInServer({
      id: `i-${index + 1}`,
      host: `${fleet.net}.${100 + index}`,
      service: 'store',
      zone,
      controls,
      controlPort: fleet.control,
    });
    await server.start();
    servers.push(server);
  }
}

async function run() {
  await fleet.start();
  const controls = fleet.listByRole('control').map(({ip}) => ip);
  await startServers(controls);
  const send = (hosts, method, target, document) =>
    order(record, hosts, fleet.control, method, target, document);
  await send(controls, 'PUT', '/api/config', CONFIGURATION);
  await pause(6_000);
  const sending = sendRequests();
  await pause(3_000);
  const [zone] = ZONES;
  const [server] = servers;
  const evacuation = `/api/evacuate/${zone}`;
  const follower = findFollower();
  const others = controls.filter(ip => ip !== follower.ip);

  await send(others, 'POST', evacuation);
  await pause(5_000);
  if (HAS_TROUBLE) {
    fleet.signal(follower.name, 'SIGSTOP');
    record(`${follower.name} freezes`);
  }
  const frozenAt = performance.now();
  await send([follower.ip, ...others], 'DELETE', evacuation);
  await pause(1_000);
  await send(others, 'POST', evacuation);
  const acknowledgedAt = performance.now();
  record(`${zone} is evacuated again and stays so`);
  await pause(frozenAt + FREEZE_MS - performance.now());
  if (HAS_TROUBLE) fleet.signal(follower.name, 'SIGCONT');
  const wokenAt = performance.now();
  record(`${follower.name} runs`);
  // From here on the core is stable, the machines are in touch, and the bound is over even if it was stretched.
  const judgedFrom =
    Math.max(acknowledgedAt + EVACUATION_MS + OUTER_MS, wokenAt + TOUCH_MS) +
    500;
  await pause(judgedFrom + OBSERVED_MS - performance.now());
  isSending = false;
  await sending;
  await pause(1_500);

  const late = server.runs.filter(({at}) => at > judgedFrom);
  const served = [...answers.values()].filter(status => status === 200).length;
  record(`${sent.size} requests sent, ${served} answered 200`);
  for (const each of servers) {
    record(`${each.id} in ${each.zone} ran ${each.runs.length} requests`);
  }
  for (const {id, at} of late.slice(0, 10)) {
    const lateMs = Math.round(at - acknowledgedAt);
    record(
      `${server.id} in the evacuated zone ran ${id} ${lateMs} ms after the acknowledgement`,
    );
  }
  record(
    `${late.length} requests reached the evacuated zone later than its bounds allow`,
  );
  if (served < sent.size / 2) return 2;
  return late.length > 0 ? 1 : 0;
}

let status = 2;
try {
  status = await run();
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  for (const server of servers) server.stop();
  await fleet.stop();
}
record(`exit ${status}`);
const text = `${lines.join('\n')}\n`;
fs.writeFileSync(path.join(import.meta.dirname, 'record.txt'), text);
process.exit(status);
