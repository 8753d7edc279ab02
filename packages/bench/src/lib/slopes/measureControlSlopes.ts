import {
  ControlClient,
  ControlNode,
  ControlState,
  createControlMethods,
} from '@sycamorehead/control';
import {SingleVoterLog} from '@sycamorehead/consensus';
import {
  EMPTY_CONFIGURATION,
  JsonValue,
  ReleaseNote,
  applyConfigurationDelta,
  applyReleaseNote,
  diffConfigurations,
  hashKey,
  parseReleaseNote,
} from '@sycamorehead/schema';
import {WireServer, encodeFrame} from '@sycamorehead/wire';
import {measureRetainedBytes, readProcessorMs} from './readUsage.js';
import {Slope, SlopePoint, computeSlope} from './slopeTypes.js';

const HOST = '127.0.0.1';
const PEER_KEY = 'slopes-peer-key';
const ENTRY_COUNTS = [1, 2, 4, 8, 16];
const RENEWALS_PER_ENTRY = 500;
const WARM_UP_ROUNDS = 100;
const ITEM_COUNTS = [5_000, 10_000, 20_000, 40_000];
const CUSTOMER_COUNTS = [10, 100, 400, 900];
const REPETITIONS = 50;

type BuildCommand = (index: number) => JsonValue;

/** Builders of commands that each add one item to the state, by name of the item. */
const ITEM_COMMANDS: Readonly<Record<string, BuildCommand>> = {
  session: index => ({
    type: 'pin_session',
    session: `session-${index}`,
    customer: 'customer-1',
    version: {model: 'inscription-small', version: 'v1'},
    at: 0,
  }),
  record: index => ({
    type: 'begin_request',
    requestKey: `customer-1/services/orders/key-${index}`,
    bodyDigest: hashKey(String(index)),
    owner: `entry-1/req-${index}`,
    isRepeatable: false,
    ownerLimitMs: 60_000,
    at: 0,
  }),
  bill: index => ({
    type: 'record_bill',
    bill: {
      requestKey: `customer-1/models/req-${index}`,
      requestId: `req-${index}`,
      customer: 'customer-1',
      item: 'inscription-small/v1',
      usage: {prompt_tokens: 100, completion_tokens: 50},
      amountMicros: 150,
      revision: 1,
    },
  }),
};

function fillState(build: BuildCommand, size: number): ControlState {
  const state = new ControlState();
  for (let index = 0; index < size; index++) state.apply(build(index), index);
  return state;
}

async function measureItems(
  name: string,
  build: BuildCommand,
): Promise<Slope[]> {
  const memory: SlopePoint[] = [];
  const processor: SlopePoint[] = [];
  const snapshot: SlopePoint[] = [];
  for (const size of ITEM_COUNTS) {
    const value = await measureRetainedBytes(() => fillState(build, size));
    memory.push({size, value});
    const startedAt = readProcessorMs();
    const state = fillState(build, size);
    processor.push({size, value: readProcessorMs() - startedAt});
    const bytes = Buffer.byteLength(JSON.stringify(state.takeSnapshot()));
    snapshot.push({size, value: bytes});
  }
  const commandBytes = Buffer.byteLength(JSON.stringify(build(1)));
  const log = ITEM_COUNTS.map(size => ({size, value: size * commandBytes}));
  return [
    computeSlope(`control.${name}Memory`, `bytes a ${name}`, memory),
    computeSlope(`control.${name}Processor`, `ms a ${name}`, processor),
    computeSlope(`control.${name}Snapshot`, `bytes a ${name}`, snapshot),
    computeSlope(`control.${name}Log`, `bytes a ${name}`, log),
  ];
}

async function measureRenewals(): Promise<Slope[]> {
  const node = new ControlNode({
    name: 'control-1',
    createLog: machine => new SingleVoterLog('control-1', machine),
  });
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: PEER_KEY,
    methods: createControlMethods(node),
  });
  const address = {host: HOST, port: await server.start()};
  const points: SlopePoint[] = [];
  for (const count of ENTRY_COUNTS) {
    const clients = Array.from(
      {length: count},
      (unused, index) =>
        new ControlClient({
          name: `entry-${index}`,
          instances: {'control-1': address},
          peerKey: PEER_KEY,
        }),
    );
    const renewAll = () =>
      Promise.all(
        clients.map((client, index) =>
          client.renewLease({entry: `entry-${index}`, confirmedRevision: 0}),
        ),
      );
    for (let round = 0; round < WARM_UP_ROUNDS; round++) await renewAll();
    const before = readProcessorMs();
    for (let round = 0; round < RENEWALS_PER_ENTRY; round++) await renewAll();
    const value = readProcessorMs() - before;
    points.push({size: count * RENEWALS_PER_ENTRY, value});
    for (const client of clients) client.stop();
  }
  await server.stop();
  await node.stop();
  return [computeSlope('lease.renewalProcessor', 'ms a renewal', points)];
}

/** Computes the bytes on the wire of a renewal without changes: the call and its response. */
function measureRenewalBytes(): Slope {
  const call = encodeFrame({
    jsonrpc: '2.0',
    id: 1_000,
    method: 'control.renewLease',
    params: {entry: 'entry-1000', confirmedRevision: 100_000},
  });
  const answer = encodeFrame({
    jsonrpc: '2.0',
    id: 1_000,
    result: {revision: 100_000, leaseMs: 3_000},
  });
  const bytes = call.length + answer.length;
  const points = ENTRY_COUNTS.map(size => ({size, value: size * bytes}));
  return computeSlope('lease.renewalBytes', 'bytes a renewal', points);
}

function buildCustomersNote(size: number): ReleaseNote {
  const customers = Array.from(
    {length: size},
    (unused, index) => `
    - customer: customer-${index}
      keyHash: ${hashKey(String(index))}
      models: [{model: m, versions: any}]
      limits: {requestsPerSecond: 10, tokensPerSecond: 1000}
      qualityTarget: 0.8`,
  );
  return parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}
  customers:${customers.join('')}
`);
}

const ONE_CHANGE = parseReleaseNote(`
number: 2
follows: 1
change:
  customers:
    - {customer: customer-1, qualityTarget: 0.7}
`);

function measureConfiguration(): Slope[] {
  const configurationBytes: SlopePoint[] = [];
  const publishing: SlopePoint[] = [];
  const applying: SlopePoint[] = [];
  const deltaBytes: SlopePoint[] = [];
  for (const size of CUSTOMER_COUNTS) {
    const before = applyReleaseNote(
      EMPTY_CONFIGURATION,
      buildCustomersNote(size),
    );
    configurationBytes.push({size, value: countJsonBytes(before)});
    const after = applyReleaseNote(before, ONE_CHANGE);
    const delta = diffConfigurations(before, after);
    deltaBytes.push({size, value: countJsonBytes(delta)});
    const publish = () => {
      diffConfigurations(before, applyReleaseNote(before, ONE_CHANGE));
    };
    publishing.push({size, value: measureMeanProcessorMs(publish)});
    const apply = () => {
      applyConfigurationDelta(before, delta);
    };
    applying.push({size, value: measureMeanProcessorMs(apply)});
  }
  return [
    computeSlope(
      'configuration.customerBytes',
      'bytes a customer',
      configurationBytes,
    ),
    computeSlope('configuration.deltaBytes', 'bytes a customer', deltaBytes),
    computeSlope(
      'configuration.publishProcessor',
      'ms a change and customer',
      publishing,
    ),
    computeSlope(
      'configuration.applyProcessor',
      'ms a change and customer',
      applying,
    ),
  ];
}

function countJsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Returns the mean processor time of one call after a warm-up, in milliseconds. */
function measureMeanProcessorMs(work: () => void): number {
  for (let repetition = 0; repetition < REPETITIONS; repetition++) work();
  const before = readProcessorMs();
  for (let repetition = 0; repetition < REPETITIONS; repetition++) work();
  return (readProcessorMs() - before) / REPETITIONS;
}

/**
 * Measures the costs of control's state items, lease renewals and configuration.
 *
 * @example
 * ```ts
 * const slopes = await measureControlSlopes();
 * ```
 * @internal
 */
export async function measureControlSlopes(): Promise<Slope[]> {
  const items: Slope[] = [];
  for (const [name, build] of Object.entries(ITEM_COMMANDS)) {
    items.push(...(await measureItems(name, build)));
  }
  return [
    ...items,
    ...(await measureRenewals()),
    measureRenewalBytes(),
    ...measureConfiguration(),
  ];
}
