import FakeTimers from '@sinonjs/fake-timers';
import {Announcement} from '@sycamorehead/schema';
import {MessageChannel, PeerLink} from '@sycamorehead/wire';
import {BackendServerDirectory} from '../lib/BackendServerDirectory.js';
import {PeerGossip} from '../lib/PeerGossip.js';
import type {PeerSet} from '../lib/PeerLinks.js';

const SETTLE_TURNS = 20;

/** Builds an announcement of an engine with one version. */
export function buildAnnouncement(
  overrides: Partial<Announcement> = {},
): Announcement {
  return {
    id: 'engine-1',
    address: 'http://127.0.0.1:1',
    dataCentre: 'dc-1',
    kind: 'engine',
    generation: 1,
    sequence: 1,
    state: 'ready',
    versions: [{model: 'm', version: 'v1'}],
    slots: 4,
    fencing: 'checked',
    ...overrides,
  };
}

/** An entry with its directory, gossip and links only. */
export class FakeEntry implements PeerSet {
  readonly directory = new BackendServerDirectory();
  readonly gossip: PeerGossip;
  readonly links = new Map<string, PeerLink>();

  constructor(
    readonly name: string,
    private readonly cluster: FakeCluster,
  ) {
    this.gossip = new PeerGossip({
      name,
      peers: [],
      peerKey: 'k',
      directory: this.directory,
      peerSet: this,
    });
  }

  listLinks(): ReadonlyMap<string, PeerLink> {
    return new Map([...this.links].filter(([, link]) => !link.isClosed));
  }

  listEntries(): string[] {
    return [...this.cluster.entries.keys()].sort();
  }

  listReadyIds(): string[] {
    return this.directory
      .listReady()
      .map(({announcement}) => announcement.id)
      .sort();
  }
}

/** Entries that are linked by channels in memory and run on a paused clock. */
export class FakeCluster {
  readonly entries = new Map<string, FakeEntry>();
  private readonly clock = FakeTimers.install();
  private readonly muted = new Set<string>();

  constructor(count: number) {
    for (let index = 1; index <= count; index++) this.addEntry(`e${index}`);
  }

  get(name: string): FakeEntry {
    const entry = this.entries.get(name);
    if (!entry) throw new Error(`no entry ${name}`);
    return entry;
  }

  addEntry(name: string): FakeEntry {
    const entry = new FakeEntry(name, this);
    const others = [...this.entries.values()];
    this.entries.set(name, entry);
    entry.gossip.start({host: '127.0.0.1', port: 1});
    for (const other of others) this.connect(entry, other);
    return entry;
  }

  /** Stops an entry as a crash would: its links close without a leave message. */
  stopEntry(name: string): void {
    const entry = this.get(name);
    this.entries.delete(name);
    entry.gossip.stop();
    for (const link of entry.links.values()) link.close('killed');
  }

  connect(left: FakeEntry, right: FakeEntry): void {
    const pair = [left.name, right.name].sort().join();
    const [leftEnd, rightEnd] = createChannelPair(() => this.muted.has(pair));
    const leftLink = new PeerLink(leftEnd, left.gossip.getMethods());
    const rightLink = new PeerLink(rightEnd, right.gossip.getMethods());
    left.links.set(right.name, leftLink);
    right.links.set(left.name, rightLink);
    left.gossip.handleLinked(right.name, leftLink);
    right.gossip.handleLinked(left.name, rightLink);
  }

  /** Closes every link between the two sides of a partition. */
  splitLinks(side: readonly string[]): void {
    for (const entry of this.entries.values()) {
      for (const [peer, link] of entry.links) {
        if (side.includes(entry.name) === side.includes(peer)) continue;
        link.close('partition');
        entry.links.delete(peer);
      }
    }
  }

  /** Drops every message between two entries, whose links stay open. */
  dropMessages(left: string, right: string): void {
    this.muted.add([left, right].sort().join());
  }

  /** Connects every pair that has no link. */
  restoreLinks(): void {
    const all = [...this.entries.values()];
    for (const left of all) {
      for (const right of all) {
        if (left.name >= right.name || left.links.has(right.name)) continue;
        this.connect(left, right);
      }
    }
  }

  /** Delivers the messages in flight without advancing the clock. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) await Promise.resolve();
  }

  async advance(ms: number): Promise<void> {
    await this.clock.tickAsync(ms);
    await this.settle();
  }

  stop(): void {
    for (const {gossip, links} of this.entries.values()) {
      gossip.stop();
      for (const link of links.values()) link.close('test ends');
    }
    this.clock.uninstall();
  }
}

function createChannelPair(
  isMuted: () => boolean,
): [MessageChannel, MessageChannel] {
  const receivers: Array<((message: unknown) => void) | undefined> = [];
  const closers: Array<(() => void) | undefined> = [];
  let isOpen = true;
  const createEnd = (own: number): MessageChannel => ({
    open(onMessage, onClose) {
      receivers[own] = onMessage;
      closers[own] = onClose;
    },
    send(message) {
      const copy = JSON.parse(JSON.stringify(message)) as unknown;
      void Promise.resolve().then(() => {
        if (isOpen && !isMuted()) receivers[1 - own]?.(copy);
      });
    },
    close() {
      if (!isOpen) return;
      isOpen = false;
      closers[1 - own]?.();
    },
  });
  return [createEnd(0), createEnd(1)];
}
