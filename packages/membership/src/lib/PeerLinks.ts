import {TlsMaterial, createLogger} from '@sycamorehead/telemetry';
import {
  LinkTimeouts,
  MethodTable,
  PeerAddress,
  PeerLink,
  connectPeer,
} from '@sycamorehead/wire';

const log = createLogger('membership');

const DIAL_RETRY_MS = 500;
/**
 * Head start of the entry with the smaller name, so that two entries rarely dial each other at the
 * same time, in milliseconds.
 */
const HEAD_START_MS = 1_000;
/** Time without a link after which an entry is dropped from the members, in milliseconds. */
const DROP_AFTER_MS = 10_000;
/** Time for which a lost entry is still dialled, since a partition may last for hours, in ms. */
const LOST_RETENTION_MS = 24 * 3_600_000;
const LOST_DIAL_RETRY_MS = 2_000;
const MAX_MEMBERS = 256;
const JOIN_METHOD = 'membership.join';
const MEMBERS_METHOD = 'membership.members';
const LEAVE_METHOD = 'membership.leave';

/** Timeouts of links between entries. Gossip heartbeats detect dead links sooner. @public */
export const PEER_LINK_TIMEOUTS: LinkTimeouts = {
  heartbeatMs: 10_000,
  silenceTimeoutMs: 10_000,
  requestTimeoutMs: 5_000,
};

/** An entry as known to the others. @public */
export interface EntryMember extends PeerAddress {
  readonly name: string;
  /** Increases with each start, so that a restarted entry replaces its previous incarnation. */
  readonly incarnation: number;
}

/** The peers of a PeerGossip: real links, or a fake in tests. @public */
export interface PeerSet {
  /** Returns the open links by peer name. */
  listLinks(): ReadonlyMap<string, PeerLink>;
  /** Lists the names of all entries assumed to be running, including this one. */
  listEntries(): string[];
}

/** Options of PeerLinks. @public */
export interface PeerLinksOptions {
  readonly name: string;
  /** Addresses of the entries to join through. */
  readonly seeds: readonly PeerAddress[];
  readonly peerKey: string;
  readonly peerTls?: TlsMaterial;
  /** Called with each new link. */
  readonly onLinked: (name: string, link: PeerLink) => void;
  /** Returns the methods that the peer of a dialled link may call. */
  readonly getMethods: () => MethodTable;
  /** Time after which an entry without a link is dropped, in milliseconds. */
  readonly dropAfterMs?: number;
}

interface KnownMember {
  readonly member: EntryMember;
  /** Monotonic time at which a link to it was last open, or at which it was added. */
  seenAt: number;
}

interface RegisteredLink {
  readonly link: PeerLink;
  readonly dialler: string;
  readonly incarnation: number;
}

interface JoinMessage {
  readonly member: EntryMember;
  readonly known: readonly EntryMember[];
}

/**
 * Maintains one link to each other entry. Joins through the seeds, learns about further entries
 * from the linked ones, and redials lost entries.
 *
 * @public
 */
export class PeerLinks implements PeerSet {
  private readonly links = new Map<string, RegisteredLink>();
  private readonly members = new Map<string, KnownMember>();
  /** Members that were dropped as silent and are still dialled occasionally. */
  private readonly lost = new Map<string, KnownMember>();
  private own: EntryMember | undefined;
  private stopped = false;

  constructor(private readonly options: PeerLinksOptions) {}

  // Commands.

  /** Joins through the seeds. Peers reach this entry at `address`. */
  start(address: PeerAddress): void {
    const {name, seeds} = this.options;
    this.own = {...address, name, incarnation: Date.now()};
    for (const seed of seeds) void this.keepConnecting(seed);
  }

  /** Notifies the peers that this entry leaves, and closes the links. */
  stop(): void {
    this.stopped = true;
    for (const {link} of this.links.values()) {
      link.notify(LEAVE_METHOD, this.own);
      link.close('entry stops');
    }
  }

  /**
   * Drops the members that have had no link for `dropAfterMs`, and stops dialling those that have
   * been lost for LOST_RETENTION_MS.
   */
  expire(): void {
    const now = performance.now();
    const dropAfterMs = this.options.dropAfterMs ?? DROP_AFTER_MS;
    for (const [name, known] of this.members) {
      if (this.isLinked(name)) known.seenAt = now;
      if (known.seenAt >= now - dropAfterMs) continue;
      if (this.lost.size < MAX_MEMBERS) this.lost.set(name, known);
      this.dropMember(name, 'silent');
    }
    for (const [name, {seenAt}] of this.lost) {
      if (seenAt < now - LOST_RETENTION_MS) this.lost.delete(name);
    }
  }

  /** Returns the methods with which entries join and leave. */
  getMethods(): MethodTable {
    return {
      [JOIN_METHOD]: (message: JoinMessage, link: PeerLink) =>
        this.acceptJoin(message, link),
      [MEMBERS_METHOD]: (members: readonly EntryMember[]) =>
        this.addMembers(members),
      [LEAVE_METHOD]: (member: EntryMember) => this.acceptLeave(member),
    };
  }

  // Queries.

  listLinks(): ReadonlyMap<string, PeerLink> {
    const open = [...this.links].filter(([, {link}]) => !link.isClosed);
    return new Map(open.map(([name, {link}]) => [name, link]));
  }

  listEntries(): string[] {
    return [this.options.name, ...this.members.keys()].sort();
  }

  private isLinked(name: string): boolean {
    const registered = this.links.get(name);
    return registered !== undefined && !registered.link.isClosed;
  }

  private listLinkedMembers(): EntryMember[] {
    const linked = [...this.members.values()]
      .map(({member}) => member)
      .filter(({name}) => this.isLinked(name));
    return this.own ? [this.own, ...linked] : linked;
  }

  private acceptJoin(message: JoinMessage, link: PeerLink): JoinMessage {
    const {member, known} = message;
    this.register(member, link, member.name);
    this.addMembers([member, ...known]);
    if (!this.own) throw new Error('joined before the start');
    return {member: this.own, known: this.listLinkedMembers()};
  }

  private acceptLeave({name, incarnation}: EntryMember): void {
    const known = this.members.get(name) ?? this.lost.get(name);
    if (!known || known.member.incarnation > incarnation) return;
    this.lost.delete(name);
    this.dropMember(name, 'leaving');
  }

  private dropMember(name: string, reason: string): void {
    this.members.delete(name);
    this.links.get(name)?.link.close(reason);
    this.links.delete(name);
    log('entry_dropped', {name, reason});
  }

  private addMembers(members: readonly EntryMember[]): void {
    for (const member of members) this.addMember(member);
  }

  private addMember(member: EntryMember): void {
    const {name, incarnation} = member;
    if (name === this.options.name) return;
    const known = this.members.get(name);
    if (known && known.member.incarnation >= incarnation) return;
    if (!known && this.members.size >= MAX_MEMBERS) return;
    this.lost.delete(name);
    this.members.set(name, {member, seenAt: performance.now()});
    log('entry_added', {name, port: member.port});
    // The other peers may not know this member. Forwarding ends at entries that already know it.
    for (const link of this.listLinks().values()) {
      link.notify(MEMBERS_METHOD, [member]);
    }
    void this.keepLinked(name);
  }

  /**
   * Registers a link. If two entries have dialled each other, both keep the link that the one with
   * the smaller name has dialled.
   */
  private register(member: EntryMember, link: PeerLink, dialler: string): void {
    const {name, incarnation} = member;
    const existing = this.links.get(name);
    const preferred = name < this.options.name ? name : this.options.name;
    const keepsExisting =
      existing !== undefined &&
      !existing.link.isClosed &&
      existing.incarnation === incarnation &&
      existing.dialler === preferred &&
      dialler !== preferred;
    if (keepsExisting) {
      link.close('the pair already has a link');
      return;
    }
    link.peerName = name;
    this.links.set(name, {link, dialler, incarnation});
    existing?.link.close('replaced by a newer link');
    log('peer_linked', {name, dialler});
    this.options.onLinked(name, link);
  }

  private async keepConnecting(address: PeerAddress): Promise<void> {
    while (!this.stopped) {
      const name = await this.connect(address);
      const link = name ? this.links.get(name)?.link : undefined;
      if (link) await waitForClose(link);
      await pause(DIAL_RETRY_MS);
    }
  }

  private async keepLinked(name: string): Promise<void> {
    const hasLargerName = name < this.options.name;
    if (hasLargerName) await pause(HEAD_START_MS);
    const known = this.members.get(name);
    const isKnown = () => known && this.members.get(name) === known;
    const isLost = () => known && this.lost.get(name) === known;
    while (known && !this.stopped && (isKnown() || isLost())) {
      if (!this.isLinked(name)) await this.connect(known.member);
      const link = this.links.get(name)?.link;
      if (link) await waitForClose(link);
      if (isLost()) await pause(LOST_DIAL_RETRY_MS);
      else await pause(hasLargerName ? HEAD_START_MS : DIAL_RETRY_MS);
    }
  }

  /** Dials an entry and joins it. Returns its name, or undefined if it can't be joined. */
  private async connect(address: PeerAddress): Promise<string | undefined> {
    const {name, peerKey, peerTls, getMethods} = this.options;
    if (!this.own) return undefined;
    const {host, port} = address;
    try {
      const link = await connectPeer({
        address: {host, port},
        name,
        peerKey,
        tls: peerTls,
        methods: getMethods(),
        timeouts: PEER_LINK_TIMEOUTS,
      });
      const answer = await link.request<JoinMessage>(JOIN_METHOD, {
        member: this.own,
        known: this.listLinkedMembers(),
      });
      if (this.stopped || answer.member.name === name) {
        link.close('dialled itself, or this entry stops');
        return undefined;
      }
      this.register(answer.member, link, name);
      this.addMembers([answer.member, ...answer.known]);
      return answer.member.name;
    } catch (error) {
      log('peer_unreachable', {port, error: String(error)});
      return undefined;
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}

function waitForClose(link: PeerLink): Promise<void> {
  return new Promise(resolve => link.addCloseListener(resolve));
}
