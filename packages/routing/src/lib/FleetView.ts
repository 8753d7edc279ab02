import type {KnownServer} from '@sycamorehead/membership';
import type {AttemptTracker} from './AttemptTracker.js';
import type {PeerUsage} from './PeerUsage.js';
import type {ServerSpeeds} from './ServerSpeeds.js';

/** A server is a straggler above this many times the typical time between tokens. */
const EJECT_FACTOR = 3;
/** Largest share of the servers that may be ejected at once. */
const MAX_EJECTED_SHARE = 1 / 3;
/** A gap this many times the estimate counts before its token arrives. */
const OPEN_GAP_FACTOR = 3;
/** Age at which a server's load report has lost most of its weight, in milliseconds. */
const REPORT_FADE_MS = 500;

/** One server as the decisions see it. @public */
export interface ServerState {
  readonly server: KnownServer;
  readonly id: string;
  readonly slots: number;
  /** Unfinished attempts of all entries, as far as known. */
  readonly count: number;
  readonly long: number;
  /** Own attempts among the count. */
  readonly ownCount: number;
  readonly tokenMs: number;
  readonly isEjected: boolean;
}

/**
 * Puts together what this entry knows of servers: its own attempts, its peers' reports, measured
 * speeds, and as far as they are fresh the servers' own load reports.
 *
 * @public
 */
export class FleetView {
  constructor(
    private readonly tracker: AttemptTracker,
    private readonly speeds: ServerSpeeds,
    private readonly peers: PeerUsage,
  ) {}

  /** Describes servers, the ejected ones marked. */
  describe(servers: readonly KnownServer[]): ServerState[] {
    const typicalMs = this.computeTypicalTokenMs(servers);
    const states = servers.map(server => this.describeOne(server, typicalMs));
    const ejected = chooseEjected(states, typicalMs);
    return states.map(state => ({...state, isEjected: ejected.has(state.id)}));
  }

  /** Computes the typical time between tokens of servers, in milliseconds. */
  computeTypicalTokenMs(servers: readonly KnownServer[]): number {
    return this.speeds.computeTypicalTokenMs(
      servers.map(({announcement}) => announcement.id),
    );
  }

  private describeOne(server: KnownServer, typicalMs: number): ServerState {
    const {id, slots} = server.announcement;
    const own = this.tracker.readWork(id);
    const others = this.peers.sumWork(id);
    const known = own.count + others.count;
    const estimateMs = this.speeds.estimateTokenMs(id, typicalMs);
    const gapMs = this.tracker.readLongestGapMs(id);
    return {
      server,
      id,
      slots,
      count: known + this.readUnknownCount(server, known),
      long: own.long + others.long,
      ownCount: own.count,
      tokenMs: gapMs > OPEN_GAP_FACTOR * estimateMs ? gapMs : estimateMs,
      isEjected: false,
    };
  }

  /** Work that the server reports beyond what is known here, faded by the report's age. */
  private readUnknownCount(
    {announcement, lastSeenAt: heardAt}: KnownServer,
    known: number,
  ): number {
    const {load} = announcement;
    if (!load) return 0;
    const ageMs = load.ageMs + performance.now() - heardAt;
    const excess = Math.max(0, load.running + load.queued - known);
    return excess * Math.exp(-ageMs / REPORT_FADE_MS);
  }
}

/** Chooses the slowest stragglers, never more than a bounded share of all servers. */
function chooseEjected(
  states: readonly ServerState[],
  typicalMs: number,
): Set<string> {
  const limit = Math.floor(states.length * MAX_EJECTED_SHARE);
  const slow = states
    .filter(({tokenMs}) => tokenMs > EJECT_FACTOR * typicalMs)
    .sort((left, right) => right.tokenMs - left.tokenMs)
    .slice(0, limit);
  return new Set(slow.map(({id}) => id));
}
