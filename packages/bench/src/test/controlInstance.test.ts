import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {
  ControlClient,
  ControlInstance,
  OperatorClient,
} from '@sycamorehead/control';
import {parsePeerAddress} from '@sycamorehead/wire';
import {buildNote} from './ConfigurationScenario.js';

const HOST = '127.0.0.1';
const PEER_KEY = 'test-peer-key';
const OPERATOR_TOKEN = 'test-operator-token';
const TIMEOUT_MS = 10_000;

interface RunningInstance {
  readonly name: string;
  instance: ControlInstance;
  url: string;
  address: string;
}

async function startInstance(
  folder: string,
  name: string,
  peerPort = 0,
): Promise<RunningInstance> {
  const instance = new ControlInstance({
    name,
    host: HOST,
    port: 0,
    peerPort,
    peerKey: PEER_KEY,
    operatorToken: OPERATOR_TOKEN,
    dataFolder: path.join(folder, name),
    onFailure: error => {
      throw error;
    },
  });
  const ports = await instance.start();
  return {
    name,
    instance,
    url: `http://${HOST}:${ports.port}`,
    address: `${HOST}:${ports.peerPort}`,
  };
}

async function runGroup(
  body: (running: RunningInstance[], folder: string) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), 'sycamorehead-test-'));
  const running: RunningInstance[] = [];
  try {
    for (const name of ['c1', 'c2', 'c3']) {
      running.push(await startInstance(folder, name));
    }
    const addresses = Object.fromEntries(
      running.map(({name, address}) => [name, address]),
    );
    await running[0]!.instance.createGroup(addresses, TIMEOUT_MS);
    await body(running, folder);
  } finally {
    for (const {instance} of running) await instance.abort();
    await rm(folder, {recursive: true, force: true});
  }
}

function createOperator(urls: readonly string[]): OperatorClient {
  return new OperatorClient({urls, operatorToken: OPERATOR_TOKEN});
}

function splitByRole(running: readonly RunningInstance[]) {
  const isLeader = ({instance}: RunningInstance) =>
    instance.node.readStatus().role === 'leader';
  return {
    leader: running.find(isLeader)!,
    followers: running.filter(candidate => !isLeader(candidate)),
  };
}

test('operators and entries reach the leader through any instance, with real sockets and disks', () =>
  runGroup(async running => {
    await createOperator(running.map(({url}) => url)).publish(
      buildNote(0, 'x'),
    );
    const {followers, leader} = splitByRole(running);
    const [follower] = followers;
    const operator = createOperator([follower!.url]);
    assert.equal((await operator.publish(buildNote(1, 'y'))).revision, 2);
    assert.equal((await operator.readInForce()).inForceRevision, 2);
    const client = new ControlClient({
      name: 'e1',
      instances: {[follower!.name]: parsePeerAddress(follower!.address)},
      peerKey: PEER_KEY,
    });
    const request = {entry: 'e1', confirmedRevision: 0};
    assert.equal((await client.renewLease(request)).revision, 2);
    await leader.instance.abort();
    const after = await operator.publish(buildNote(1, 'y'));
    assert.equal(after.state, 'already_in_force');
    assert.equal((await operator.readInForce()).inForceRevision, 2);
    client.stop();
  }));

test('after a lost disk is replaced, the loss of another instance loses no accepted note', () =>
  runGroup(async (running, folder) => {
    const operator = createOperator(running.map(({url}) => url));
    await operator.publish(buildNote(0, 'x'));
    const {leader, followers} = splitByRole(running);
    const [lost, second] = followers;
    const old = (await operator.listMembers()).find(
      ({instance}) => instance === lost!.name,
    )!;
    await lost!.instance.abort();
    await rm(path.join(folder, lost!.name), {recursive: true});
    const port = parsePeerAddress(lost!.address).port;
    Object.assign(lost!, await startInstance(folder, lost!.name, port));
    const addresses = Object.fromEntries(
      running.map(({name, address}) => [name, address]),
    );
    await assert.rejects(lost!.instance.createGroup(addresses, TIMEOUT_MS), {
      kind: 'settings_invalid',
    });
    await operator.addMember(lost!.name, lost!.address);
    const members = await operator.removeMember(old.id);
    assert.equal(members.filter(({role}) => role === 'voter').length, 3);
    await second!.instance.abort();
    const repaired = createOperator([lost!.url, leader.url]);
    assert.equal((await repaired.publish(buildNote(1, 'y'))).revision, 2);
    assert.equal((await repaired.readInForce()).revision, 2);
  }));
