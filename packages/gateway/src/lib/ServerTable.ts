import {
  FleetUpdate,
  LoadTable,
  PromptNewsTable,
  ServerListing,
  ServerLoad,
  ServerObstacle,
} from '@sycamorehead/fleet';
import {ServiceSlowness} from '@sycamorehead/routing';
import {
  ServerRegistration,
  evictOldest,
  isNewerRegistration,
} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import {ColdServers} from './ColdServers.js';
import {DirectoryFill} from './DirectoryFill.js';
import {EvacuationView} from './EvacuationView.js';
import {
  KnownServer,
  computeSlowUntil,
  createServer,
  describeLoad,
  setOthersLoad,
  updatePaces,
} from './KnownServer.js';
import {ServerLimits} from './ServerLimits.js';
import {ServerNotices} from './ServerNotices.js';

/** Consecutive failures after which a server is ejected for a while. */
const FAILURES_TO_EJECT = 2;
/**
 * Duration of the first ejection of a failing server, in milliseconds; it doubles with each further
 * failure, up to the maximum.
 */
const EJECTION_MS = 400;
/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 4_000;
/**
 * Time after its last bytes for which a server counts as active, in milliseconds; a few steps of
 * a busy engine.
 */
const ACTIVE_MS = 400;
/** Time for which the servers of a data centre return gradually after an evacuation, in milliseconds. */
const RETURN_MS = 2_000;
/** Maximum number of services whose typical slowness is remembered. */
const MAX_SERVICES = 2_000;
/** Maximum number of prompt segments that one report names. */
const MAX_PROMPT_NEWS = 64;

const NO_LOAD: ServerLoad = [0, 0];

/** Called with the registrations of the servers to which requests may be sent again. @public */
export type ReturnListener = (
  registrations: readonly ServerRegistration[],
) => void;

/**
 * Tracks the backend servers to which an entry may send, and what it has observed of them.
 *
 * @public
 */
export class ServerTable {
  readonly notices = new ServerNotices();
  readonly limits = new ServerLimits();
  readonly evacuation = new EvacuationView();
  readonly cold = new ColdServers();
  readonly filling = new DirectoryFill();
  private readonly returnListeners: ReturnListener[] = [
    registrations => this.cold.expectCold(registrations),
  ];
  private readonly servers = new Map<string, KnownServer>();
  private readonly slowness = new Map<string, ServiceSlowness>();
  /** The server whose prompt news are taken next. */
  private nextNewsId: string | undefined;

  // Commands.

  /** Applies an update from a control instance. */
  update(update: FleetUpdate): void {
    const {servers = [], dropped = []} = update;
    const returned = this.evacuation.update(update);
    for (const listing of servers) this.applyListing(listing);
    for (const id of dropped) this.drop(id);
    if (returned.length > 0) this.announceReturn(returned);
  }

  /**
   * Calls back with the registrations of a data centre that is no longer evacuated. Its servers may have
   * become cold and not have said so yet.
   */
  addReturnListener(listener: ReturnListener): void {
    this.returnListeners.push(listener);
  }

  /**
   * Sets the load that the other entries have placed on the servers. A brief table says nothing of what
   * the servers have read and how fast they answered.
   */
  setOthersLoad(load: LoadTable, isBrief = false): void {
    const options = {now: performance.now(), isBrief};
    for (const [id, server] of this.servers) {
      setOthersLoad(server, load[id] ?? NO_LOAD, options);
    }
    if (!isBrief) updatePaces(this.servers.values());
  }

  /** Records that a server has answered, and the ratio of its time to the typical time. */
  recordAnswer(server: KnownServer, timeRatio: number): void {
    server.failures = 0;
    this.notices.recordAnswer(server.listing.registration);
    server.lastReceivedAt = performance.now();
    server.ejectedUntil = 0;
    this.recordSlowness(server, timeRatio);
  }

  /** Records the ratio of a server's time to the typical time. */
  recordSlowness(server: KnownServer, timeRatio: number): void {
    server.slowness.recordRatio(timeRatio);
  }

  /**
   * Records a failure of a server, which is ejected for a while after consecutive failures, or at
   * once if it cannot be reached: without requests in flight it would seem the least loaded one.
   */
  recordFailure(
    server: KnownServer,
    reason: string,
    isUnreachable = false,
  ): void {
    server.failures += isUnreachable ? FAILURES_TO_EJECT : 1;
    if (server.failures < FAILURES_TO_EJECT) return;
    const doublings = Math.min(10, server.failures - FAILURES_TO_EJECT);
    const pauseMs = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** doublings);
    server.ejectedUntil = performance.now() + pauseMs;
    writeDecision('server_ejected', {
      server: server.listing.registration.id,
      failures: server.failures,
      pause_ms: pauseMs,
      reason,
    });
  }

  /** Marks a server as departed because another one has taken its address. */
  markReplaced({listing}: KnownServer): void {
    this.markDeparted(listing);
  }

  /** Records the prompt segments that other entries have sent to the servers. */
  addPromptNews(table: PromptNewsTable): void {
    for (const [id, hashes] of Object.entries(table)) {
      this.servers.get(id)?.memory.kept.recordNews(hashes);
    }
  }

  /**
   * Takes the prompt segments that this entry has sent, which are news to the others. It goes on with the
   * server where it stopped, so that those of each go out in turn.
   */
  takePromptNews(): PromptNewsTable {
    const table: Record<string, readonly number[]> = {};
    const servers = [...this.servers];
    const start = servers.findIndex(([id]) => id === this.nextNewsId);
    const passed = servers.splice(0, Math.max(0, start));
    servers.push(...passed);
    let left = MAX_PROMPT_NEWS;
    for (const [index, [id, {memory}]] of servers.entries()) {
      const hashes = memory.kept.takeNews(left);
      if (hashes.length > 0) table[id] = hashes;
      left -= hashes.length;
      if (left > 0) continue;
      // The first one could use up each report.
      this.nextNewsId = index === 0 ? servers[1]?.[0] : id;
      break;
    }
    return table;
  }

  // Queries.

  /**
   * Returns whether anything was recently received from a server, on any connection of any entry.
   * One of many entries alone hardly ever has two requests on the same server.
   */
  isActive({lastReceivedAt, othersReceivedAt}: KnownServer): boolean {
    const receivedAt = Math.max(lastReceivedAt, othersReceivedAt);
    return performance.now() - receivedAt < ACTIVE_MS;
  }

  /**
   * Lists the servers of a service that do not leave and whose data centres are not evacuated; some may
   * be held.
   */
  listReady(service: string): KnownServer[] {
    return this.listStaying(
      service,
      dataCentre => !this.evacuation.isClosed(dataCentre),
    );
  }

  /** Lists the ready servers of a service that accept new work now, like `isAccepting`. */
  listAccepting(service: string): KnownServer[] {
    return this.listReady(service).filter(
      ({listing}) => this.notices.getHoldMs(listing.registration) === 0,
    );
  }

  /** Lists the servers of a service that would be ready if their data centres were not evacuated. */
  listEvacuated(service: string): KnownServer[] {
    return this.listStaying(service, dataCentre =>
      this.evacuation.isEvacuated(dataCentre),
    );
  }

  /** Returns whether a condition holds for any server. */
  matchAny(matches: (server: KnownServer) => boolean): boolean {
    for (const server of this.servers.values()) {
      if (matches(server)) return true;
    }
    return false;
  }

  /** Lists all known servers of a service, whatever their state. */
  listKnown(service: string): KnownServer[] {
    return [...this.servers.values()].filter(
      ({listing}) => listing.registration.service === service,
    );
  }

  /** Returns whether this incarnation of a server accepts new work now. */
  isAccepting(server: KnownServer): boolean {
    return this.findObstacle(server) === undefined;
  }

  /** Finds why this incarnation of a server accepts no new work now, whatever its load. */
  findObstacle(server: KnownServer): ServerObstacle | undefined {
    const {registration} = server.listing;
    const {evacuation, notices} = this;
    if (this.servers.get(registration.id) !== server) return 'unlisted';
    if (registration.state !== 'ready') return 'not_ready';
    if (notices.isLeaving(registration)) return 'leaving';
    if (evacuation.isEvacuated(registration.dataCentre)) return 'evacuated';
    if (!evacuation.isKnown) return 'evacuation_unknown';
    if (notices.getHoldMs(registration) > 0) return 'pause';
    return undefined;
  }

  /** Lists the registrations of the servers to which requests may be sent, now or later. */
  listRegistrations(): ServerRegistration[] {
    return [...this.servers.values()]
      .map(({listing}) => listing.registration)
      .filter(
        ({state, dataCentre}) =>
          state === 'ready' && !this.evacuation.isClosed(dataCentre),
      );
  }

  /** Lists the registrations of the cold servers that accept a request now if it has a permit. */
  listCold(): ServerRegistration[] {
    const now = performance.now();
    return [...this.servers.values()]
      .filter(server => {
        const {registration} = server.listing;
        const load = server.inFlight + server.othersInFlight;
        return (
          this.cold.isCold(registration) &&
          load < registration.slots &&
          server.ejectedUntil <= now &&
          this.isAccepting(server)
        );
      })
      .map(({listing}) => listing.registration);
  }

  /**
   * Returns whether a server may get little more than an equal share: it has just started, has just
   * lifted its limit, its data centre was evacuated until now, or it has not answered since a pause or an
   * ejection. All entries see it idle at the same time.
   */
  isSlow(server: KnownServer): boolean {
    const {slowUntil, returningUntil, ejectedUntil} = server;
    const {registration} = server.listing;
    // Their permits bound the sends of all entries.
    if (this.cold.isCold(registration)) return false;
    return (
      performance.now() < Math.max(slowUntil, returningUntil) ||
      ejectedUntil > 0 ||
      this.limits.isReturning(registration) ||
      this.notices.isReturning(registration)
    );
  }

  /** Whether no server is known. */
  get isEmpty(): boolean {
    return this.servers.size === 0;
  }

  /** Lists this entry's load by server id; briefly, without what the servers have read and their paces. */
  listLoad(isBrief = false): LoadTable {
    const load: Record<string, ServerLoad> = {};
    const now = performance.now();
    const options = {now, oldest: now - ACTIVE_MS, isBrief};
    for (const [id, server] of this.servers) {
      const entry = describeLoad(server, options);
      if (entry) load[id] = entry;
    }
    return load;
  }

  private listStaying(
    service: string,
    isIncluded: (dataCentre: string) => boolean,
  ): KnownServer[] {
    const staying: KnownServer[] = [];
    for (const server of this.servers.values()) {
      const {registration} = server.listing;
      if (
        registration.service === service &&
        registration.state === 'ready' &&
        !this.notices.isLeaving(registration) &&
        isIncluded(registration.dataCentre)
      ) {
        staying.push(server);
      }
    }
    return staying;
  }

  private announceReturn(dataCentres: readonly string[]): void {
    const registrations = this.listRegistrations().filter(({dataCentre}) =>
      dataCentres.includes(dataCentre),
    );
    for (const {id} of registrations) {
      const server = this.servers.get(id);
      if (server) server.returningUntil = performance.now() + RETURN_MS;
    }
    for (const listener of this.returnListeners) listener(registrations);
  }

  private markDeparted({registration, isSilent}: ServerListing): void {
    const known = this.servers.get(registration.id);
    if (known?.listing.registration !== registration) return;
    known.listing = {registration: {...registration, state: 'gone'}, isSilent};
    this.logChange(known.listing.registration);
  }

  /**
   * Marks an older server at the same address as departed, because an address belongs to the
   * server that started there last.
   */
  private markPredecessorDeparted({
    address,
    startedAtMs,
    id,
  }: ServerRegistration): void {
    for (const {listing} of this.servers.values()) {
      const other = listing.registration;
      const isPredecessor =
        other.address === address &&
        other.id !== id &&
        other.state !== 'gone' &&
        other.startedAtMs < startedAtMs;
      if (isPredecessor) this.markDeparted(listing);
    }
  }

  private add(listing: ServerListing): void {
    const {id, service} = listing.registration;
    const slowness = this.slowness.get(service) ?? new ServiceSlowness();
    this.slowness.set(service, slowness);
    evictOldest(this.slowness, MAX_SERVICES);
    this.servers.set(id, createServer(listing, slowness));
  }

  private applyListing(listing: ServerListing): void {
    const {registration} = listing;
    this.markPredecessorDeparted(registration);
    const known = this.servers.get(registration.id);
    if (!known) {
      this.add(listing);
      this.cold.recordRegistration(registration);
      this.logChange(registration);
      return;
    }
    const old = known.listing.registration;
    if (isNewerRegistration(registration, old)) {
      this.replaceListing(known, listing);
    } else if (registration.sequence === old.sequence) {
      known.listing = listing;
    }
  }

  private replaceListing(known: KnownServer, listing: ServerListing): void {
    const {registration} = listing;
    const old = known.listing.registration;
    const isRestarted =
      registration.startedAtMs !== old.startedAtMs ||
      registration.address !== old.address;
    if (isRestarted) {
      this.limits.remove(old);
      this.cold.remove(old);
      known.agent.destroy();
      known.slowness.remove();
      this.add(listing);
    } else {
      known.listing = listing;
      known.slowUntil = computeSlowUntil(registration);
    }
    this.cold.recordRegistration(registration);
    if (registration.state !== old.state) this.logChange(registration);
  }

  private logChange(registration: ServerRegistration): void {
    const {id, state, sequence, service, slowStartMs = 0} = registration;
    writeDecision('server_listed', {
      server: id,
      service,
      state,
      sequence,
      slow_start_ms: slowStartMs,
    });
  }

  private drop(id: string): void {
    const known = this.servers.get(id);
    if (!known) return;
    known.agent.destroy();
    known.slowness.remove();
    this.limits.remove(known.listing.registration);
    this.cold.remove(known.listing.registration);
    this.servers.delete(id);
    writeDecision('server_dropped', {server: id});
  }
}
