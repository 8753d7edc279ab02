import type {KnownServer} from '@sycamorehead/membership';
import type {AttemptTracker} from './AttemptTracker.js';
import type {PeerUsage} from './PeerUsage.js';
import type {ServerSpeeds} from './ServerSpeeds.js';

/** A server is a straggler above this many times the typical time between tokens. */
const EJECT_FACTOR = 3;
/** Largest share of the servers that may be ejected at once. */
const MAX_EJECTED_SHARE = 1 / 3;
/**
 * A gap whose next token has not arrived yet counts as the server's time between tokens once it
 * exceeds this multiple of the estimate.
 */
const OPEN_GAP_FACTOR = 3;
/** The time constant with which a server's load report loses its weight, in milliseconds. */
const REPORT_DECAY_MS = 500;

/** The state of one server as the policies see it. @public */
export interface ServerState {
  readonly server: KnownServer;
  readonly id: string;
  readonly slots: number;
  /**
   * Unfinished attempts of all entries, including an estimate of those that only the server's load
   * report shows.
   */
  readonly count: number;
  readonly long: number;
  /** This entry's own attempts in `count`. */
  readonly ownCount: number;
  readonly tokenMs: number;
  readonly isEjected: boolean;
}

/**
 * Combines the information of this entry about servers: its own attempts, its peers' reports,
 * measured speeds and, while they are fresh, the servers' own load reports.
 *
 * @public
 */
export class FleetView {
  constructor(
    private readonly tracker: AttemptTracker,
    private readonly speeds: ServerSpeeds,
    private readonly peers: PeerUsage,
  ) {}

  /** Describes servers and marks the ejected ones. */
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
      count: known + this.estimateUnknownCount(server, known),
      long: own.long + others.long,
      ownCount: own.count,
      tokenMs: gapMs > OPEN_GAP_FACTOR * estimateMs ? gapMs : estimateMs,
      isEjected: false,
    };
  }

  /**
   * Returns the work that the server reports beyond the known attempts, discounted by the
   * report's age.
   */
  private estimateUnknownCount(
    {announcement, lastSeenAt}: KnownServer,
    known: number,
  ): number {
    const {load} = announcement;
    if (!load) return 0;
    const ageMs = load.ageMs + performance.now() - lastSeenAt;
    const excess = Math.max(0, load.running + load.queued - known);
    return excess * Math.exp(-ageMs / REPORT_DECAY_MS);
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
