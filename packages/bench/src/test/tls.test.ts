import assert from 'node:assert/strict';
import path from 'node:path';
import {test} from 'node:test';
import {Agent, request} from 'undici';
import {SingleVoterLog} from '@sycamorehead/consensus';
import {
  ControlClient,
  ControlNode,
  OperatorClient,
  OperatorServer,
  createControlMethods,
} from '@sycamorehead/control';
import {Entry} from '@sycamorehead/entry';
import {TlsMaterial, readTls} from '@sycamorehead/telemetry';
import {WireServer, connectPeer} from '@sycamorehead/wire';

const HOST = '127.0.0.1';
/** Test certificates, which are trusted nowhere else. */
const CERTIFICATE_FOLDER = path.resolve(
  import.meta.dirname,
  '../../fixtures/tls',
);

function loadMaterial(name: string, ca: string): TlsMaterial {
  const getFile = (file: string) => path.join(CERTIFICATE_FOLDER, file);
  const material = readTls('tls', {
    cert: getFile(`${name}.pem`),
    key: getFile(`${name}.key`),
    ca: getFile(`${ca}.pem`),
  });
  assert.ok(material);
  return material;
}

const TLS = loadMaterial('instance', 'ca');

test('peer links require a certificate of the same authority and the peer key', async () => {
  const methods = {ping: () => ({pong: true})};
  const server = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'k',
    methods,
    tls: TLS,
  });
  const address = {host: HOST, port: await server.start()};
  const base = {address, name: 'e1', peerKey: 'k'};
  const link = await connectPeer({...base, tls: TLS});
  assert.deepEqual(await link.request('ping', {}), {pong: true});
  link.close();
  await assert.rejects(connectPeer({...base, peerKey: 'wrong', tls: TLS}), {
    kind: 'unauthenticated',
  });
  const foreignCertificate = loadMaterial('other', 'ca');
  await assert.rejects(connectPeer({...base, tls: foreignCertificate}));
  const trustsOtherCa = loadMaterial('instance', 'other-ca');
  await assert.rejects(connectPeer({...base, tls: trustsOtherCa}), {
    kind: 'link_closed',
  });
  await assert.rejects(connectPeer(base), 'a link without TLS was accepted');
  await server.stop();
});

test('callers, operators and peers use TLS if it is configured', async () => {
  const node = new ControlNode({
    name: 'c1',
    createLog: machine => new SingleVoterLog('c1', machine),
  });
  const common = {host: HOST, port: 0};
  const wire = new WireServer({
    ...common,
    peerKey: 'k',
    methods: createControlMethods(node),
    tls: TLS,
  });
  const operators = new OperatorServer({
    ...common,
    node,
    operatorToken: 'o',
    tls: {cert: TLS.cert, key: TLS.key},
  });
  const address = {host: HOST, port: await wire.start()};
  const control = new ControlClient({
    name: 'e1',
    instances: {c1: address},
    peerKey: 'k',
    peerTls: TLS,
  });
  const entry = new Entry({
    ...common,
    name: 'e1',
    dataCentre: 'd1',
    peerPort: 0,
    peers: [],
    peerKey: 'k',
    serverKey: 's',
    control,
    tls: {cert: TLS.cert, key: TLS.key},
    peerTls: TLS,
  });
  const {port} = await entry.start();
  const operatorUrl = `https://${HOST}:${await operators.start()}`;
  try {
    const operator = new OperatorClient({
      urls: [operatorUrl],
      operatorToken: 'o',
      ca: TLS.ca,
    });
    assert.equal((await operator.readInForce()).revision, 0);
    const untrustingOperator = new OperatorClient({
      urls: [operatorUrl],
      operatorToken: 'o',
    });
    await assert.rejects(untrustingOperator.readInForce(), {
      kind: 'control_unavailable',
    });
    const agent = new Agent({connect: {ca: TLS.ca}});
    const answer = await request(`https://${HOST}:${port}/healthz`, {
      dispatcher: agent,
    });
    assert.deepEqual(await answer.body.json(), {status: 'ok'});
    await agent.close();
    await assert.rejects(request(`http://${HOST}:${port}/healthz`));
  } finally {
    await entry.stop();
    control.stop();
    await operators.stop();
    await wire.stop();
    await node.stop();
  }
});

test('an incomplete certificate pair or a missing file is rejected with the name of its flag', () => {
  assert.throws(() => readTls('tls', {cert: 'a.pem'}), {
    kind: 'settings_invalid',
    message: /--tls-key/,
  });
  assert.throws(() => readTls('peer-tls', {cert: '/none', key: '/none'}), {
    message: '--peer-tls-cert: cannot read /none',
  });
  assert.equal(readTls('tls', {cert: '', key: ''}), undefined);
});
