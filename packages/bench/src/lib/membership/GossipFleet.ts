import {
  BackendServerDirectory,
  PEER_LINK_TIMEOUTS,
  PeerGossip,
  PeerLinks,
} from '@sycamorehead/membership';
import {Announcement} from '@sycamorehead/schema';
import {MethodTable, WireServer} from '@sycamorehead/wire';
import {CountingRelay} from './CountingRelay.js';

const HOST = '127.0.0.1';
const PEER_KEY = 'gossip-peer-key';
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 20;
const FLOOD_METHOD = 'bench.announce';

/** How the entries of a GossipFleet propagate announcements. @internal */
export type GossipMode = 'flood' | 'subsets';

/** The membership component of one entry. @internal */
interface MembershipEntry {
  readonly directory: BackendServerDirectory;
  receive(announcement: Announcement): void;
  countLinks(): number;
  stop(): Promise<void>;
}

/**
 * Runs the membership components of several entries over real connections. Peers connect to each
 * entry through a relay that counts bytes. The baseline `flood` sends every announcement to every
 * peer.
 *
 * @internal
 */
export class GossipFleet {
  readonly entries: MembershipEntry[] = [];
  private readonly relays: CountingRelay[] = [];
  private seedPort: number | undefined;

  constructor(private readonly mode: GossipMode) {}

  /** Starts the entries, which join through the first, and waits until all are connected. */
  async start(count: number): Promise<void> {
    for (let index = 1; index <= count; index++) {
      this.entries.push(await this.startEntry(`entry-${index}`));
    }
    const deadline = performance.now() + READY_TIMEOUT_MS;
    const isConnected = () =>
      this.entries.every(entry => entry.countLinks() === count - 1);
    while (!isConnected()) {
      if (performance.now() > deadline)
        throw new Error(`entries not connected within ${READY_TIMEOUT_MS} ms`);
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  /** Stops the entries and the relays. */
  async stop(): Promise<void> {
    for (const entry of this.entries) await entry.stop();
    for (const relay of this.relays) await relay.stop();
  }

  /** Returns the number of bytes sent between entries so far. */
  countBytes(): number {
    return this.relays.reduce((sum, {bytes}) => sum + bytes, 0);
  }

  private async startEntry(name: string): Promise<MembershipEntry> {
    const seeds =
      this.seedPort === undefined ? [] : [{host: HOST, port: this.seedPort}];
    const directory = new BackendServerDirectory();
    const {links, methods, receive} =
      this.mode === 'flood'
        ? createFlood(name, seeds, directory)
        : createGossip(name, seeds, directory);
    const server = new WireServer({
      host: HOST,
      port: 0,
      peerKey: PEER_KEY,
      methods,
      timeouts: PEER_LINK_TIMEOUTS,
    });
    const serverPort = await server.start();
    const relay = new CountingRelay(() => serverPort);
    const port = await relay.start();
    this.relays.push(relay);
    this.seedPort ??= port;
    links.start({host: HOST, port});
    const countLinks = () => links.countLinks();
    const stop = async () => {
      links.stop();
      await server.stop();
    };
    return {directory, receive, countLinks, stop};
  }
}

interface MembershipProtocol {
  readonly links: {
    start(address: {host: string; port: number}): void;
    stop(): void;
    countLinks(): number;
  };
  readonly methods: MethodTable;
  receive(announcement: Announcement): void;
}

type SeedAddresses = ReadonlyArray<{host: string; port: number}>;

function createGossip(
  name: string,
  peers: SeedAddresses,
  directory: BackendServerDirectory,
): MembershipProtocol {
  const gossip = new PeerGossip({name, peers, peerKey: PEER_KEY, directory});
  return {
    links: gossip,
    methods: gossip.getMethods(),
    receive: announcement => void gossip.receive(announcement),
  };
}

function createFlood(
  name: string,
  seeds: SeedAddresses,
  directory: BackendServerDirectory,
): MembershipProtocol {
  const getMethods = (): MethodTable => ({
    ...links.getMethods(),
    [FLOOD_METHOD]: (announcement: Announcement) => {
      directory.receive(announcement);
    },
  });
  const links: PeerLinks = new PeerLinks({
    name,
    seeds,
    peerKey: PEER_KEY,
    onLinked: () => {},
    getMethods,
  });
  return {
    links: {
      start: address => links.start(address),
      stop: () => links.stop(),
      countLinks: () => links.listLinks().size,
    },
    methods: getMethods(),
    receive: announcement => {
      if (directory.receive(announcement) === 'stale') return;
      for (const link of links.listLinks().values()) {
        link.notify(FLOOD_METHOD, announcement);
      }
    },
  };
}
