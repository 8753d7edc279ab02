import {FakeServer, ServerScript} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildRoute,
} from './GatewayHarness.js';

const started: Array<{stop(): Promise<void>}> = [];

/** Stops everything that a test has started. */
export async function stopStarted(): Promise<void> {
  await Promise.all(started.splice(0).map(item => item.stop()));
}

/** Registers something to be stopped at the end of the test. */
export function track<Item extends {stop(): Promise<void>}>(item: Item): Item {
  started.push(item);
  return item;
}

/** Starts a fake server. */
export async function startServer(
  id: string,
  script: ServerScript,
): Promise<FakeServer> {
  const server = track(new FakeServer(id, script));
  await server.start();
  return server;
}

/** Starts a gateway with one route and the servers. */
export async function startGateway(
  route: Parameters<typeof buildRoute>[0],
  servers: readonly FakeServer[],
  budgetRatio?: number,
): Promise<GatewayHarness> {
  const gateway = track(new GatewayHarness(budgetRatio));
  await gateway.start(
    buildConfiguration([buildRoute(route)]),
    servers.map(server => server.describe()),
  );
  return gateway;
}
