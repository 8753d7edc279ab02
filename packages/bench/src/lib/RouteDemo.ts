import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import http from 'node:http';
import {AddressInfo, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {FleetNode} from '@sycamorehead/fleet';
import {DEFAULT_HEADERS, Gateway} from '@sycamorehead/gateway';
import {
  DEFAULT_CALLER_LIMITS,
  JsonValue,
  RouteConfiguration,
} from '@sycamorehead/schema';

const HOST = '127.0.0.1';
const ROUTE_HOST = 'rota.example';
const SERVICE = 'rota-app';
const READY_TIMEOUT_MS = 10_000;
const POLL_MS = 20;
/**
 * Longer than any demo: the backend server registers once and sends no heartbeats, so its
 * registration must not expire.
 */
const NO_EXPIRY_MS = 86_400_000;

/**
 * A deployment with one declared route in one process: a control instance, an entry and a backend
 * server that answers with the name of the calling customer.
 *
 * @public
 */
export class RouteDemo {
  private readonly server = http.createServer((request, response) => {
    const customer = request.headers[DEFAULT_HEADERS.customer] ?? '';
    const id = request.headers[DEFAULT_HEADERS.requestId] ?? '';
    response.setHeader(DEFAULT_HEADERS.requestId, id);
    response.setHeader(DEFAULT_HEADERS.signature, 'demo');
    response.end(`turn 4 of ${customer}\n`);
  });
  private node: FleetNode | undefined;
  private gateway: Gateway | undefined;
  private folder = '';
  private entryPort = 0;
  private peerPort = 0;

  /** @param key API key of the customer `committee`. */
  constructor(private readonly key: string) {}

  /** Base URL of the entry. */
  get entryUrl(): string {
    return `http://${HOST}:${this.entryPort}`;
  }

  /** Peer address of the control instance, for `syc fleet --peer`. */
  get peer(): string {
    return `${HOST}:${this.peerPort}`;
  }

  /** Builds the headers of a request to the declared route. */
  buildHeaders(requestId: string): Record<string, string> {
    return {
      host: ROUTE_HOST,
      [DEFAULT_HEADERS.key]: this.key,
      [DEFAULT_HEADERS.requestId]: requestId,
    };
  }

  /** Starts all components and waits until the entry serves the route. */
  async start(peerKey: string): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), 'sycamorehead-'));
    this.peerPort = await findFreePort();
    this.entryPort = await findFreePort();
    this.node = this.createNode(peerKey);
    await this.node.start();
    await this.registerServer(this.node);
    this.gateway = this.createGateway(peerKey);
    await this.gateway.start();
    await this.publish(this.node);
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!this.gateway.isReady()) {
      if (performance.now() > deadline)
        throw new Error(`route not served within ${READY_TIMEOUT_MS} ms`);
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  /** Stops all components and deletes the data folder. */
  async stop(): Promise<void> {
    await this.gateway?.stop();
    await this.node?.stop();
    this.server.closeAllConnections();
    this.server.close();
    await rm(this.folder, {recursive: true, force: true});
  }

  private createNode(peerKey: string): FleetNode {
    return new FleetNode({
      instance: HOST,
      dataCentre: 'local',
      dataCentres: [],
      host: HOST,
      peerPort: this.peerPort,
      peerKey,
      seeds: [this.peer],
      isFirstStart: true,
      dataFolder: this.folder,
      faults: 0,
      registry: {
        silentMs: NO_EXPIRY_MS,
        expiryMs: NO_EXPIRY_MS,
        tombstoneMs: NO_EXPIRY_MS,
      },
      maxCanaryShare: 0.1,
      decodeConfiguration,
    });
  }

  private createGateway(peerKey: string): Gateway {
    return new Gateway({
      name: 'entry-1',
      dataCentre: 'dc-1',
      host: HOST,
      port: this.entryPort,
      peerKey,
      seeds: [this.peer],
      names: DEFAULT_HEADERS,
      policies: {server: 'sampled', model: 'expected_value', answerValue: 10},
      retryBudget: {ratio: 0.2, slack: 10, windowMs: 10_000},
      sessionMs: 5_000,
      graceMs: 1_000,
      decodeConfiguration,
    });
  }

  private async registerServer(node: FleetNode): Promise<void> {
    this.server.listen(0, HOST);
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    await node.register({
      id: 'server-1',
      service: SERVICE,
      address: `${HOST}:${port}`,
      dataCentre: 'dc-1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      startedAtMs: Date.now(),
      sequence: 1,
    });
  }

  /** Retries the command until the control group is formed, as an operator would. */
  private async publish(node: FleetNode): Promise<void> {
    const document = buildConfiguration(this.key) as unknown as JsonValue;
    const deadline = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      try {
        await node.commands.putConfiguration(document);
        return;
      } catch (error) {
        if (performance.now() > deadline) throw error;
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
      }
    }
  }
}

/** Returns the document unchanged, because the demo publishes a decoded configuration. */
function decodeConfiguration(document: JsonValue): RouteConfiguration {
  return document as unknown as RouteConfiguration;
}

function buildConfiguration(key: string): RouteConfiguration {
  return {
    version: 1,
    routes: [
      {
        name: 'turn-lookup',
        host: ROUTE_HOST,
        pathPrefix: '/turns/',
        kind: 'safe',
        services: [{service: SERVICE, weight: 1}],
        timeoutMs: 3_000,
        targetLatencyMs: 400,
        longestPauseMs: 1_000,
        priority: 1,
        maxAttempts: 2,
        isPublic: false,
        isResumable: false,
        models: [],
      },
    ],
    services: [
      {
        name: SERVICE,
        healthPath: '/healthz',
        maxConnections: 100,
        engine: undefined,
      },
    ],
    limits: DEFAULT_CALLER_LIMITS,
    customers: [{name: 'committee', keys: [key], priority: undefined}],
  };
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
