import {Announcement, parseAnnouncement} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {
  MethodTable,
  PeerAddress,
  PeerLink,
  connectPeer,
} from '@sycamorehead/wire';
import type {BackendServerDirectory} from './BackendServerDirectory.js';

const log = createLogger('membership');

const RECONNECT_MS = 500;
const ANNOUNCE_METHOD = 'membership.announce';

/** Settings of a PeerGossip. @public */
export interface PeerGossipOptions {
  /** Own name. */
  readonly name: string;
  /** Other entries. */
  readonly peers: readonly PeerAddress[];
  readonly peerKey: string;
  readonly directory: BackendServerDirectory;
}

/**
 * Tells the other entries what backend servers announced here.
 *
 * @public
 */
export class PeerGossip {
  private readonly links = new Map<PeerAddress, PeerLink>();
  private stopped = false;

  constructor(private readonly options: PeerGossipOptions) {}

  /** Connects to every peer and keeps connecting until stopped. */
  start(): void {
    for (const address of this.options.peers) void this.keepConnected(address);
  }

  /** Closes the links. */
  stop(): void {
    this.stopped = true;
    for (const link of this.links.values()) link.close('gossip stops');
  }

  /** Sends an announcement to every connected peer. */
  announce(announcement: Announcement): void {
    for (const link of this.links.values()) {
      link.notify(ANNOUNCE_METHOD, announcement);
    }
  }

  /** The methods that this entry serves to its peers. */
  getMethods(): MethodTable {
    return {
      [ANNOUNCE_METHOD]: (params: never) => {
        this.options.directory.receive(parseAnnouncement(params));
      },
    };
  }

  private async keepConnected(address: PeerAddress): Promise<void> {
    const {name, peerKey} = this.options;
    while (!this.stopped) {
      try {
        const link = await connectPeer({address, name, peerKey});
        this.links.set(address, link);
        log('peer_connected', {port: address.port});
        await new Promise<void>(resolve => link.addCloseListener(resolve));
      } catch (error) {
        log('peer_unreachable', {port: address.port, error: String(error)});
      }
      this.links.delete(address);
      await new Promise(resolve => setTimeout(resolve, RECONNECT_MS).unref());
    }
  }
}
