import {LinkPool} from '@sycamorehead/consensus';
import type {ServerRegistration} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {
  ControlIdentity,
  FLEET_METHODS,
  SyncReply,
  SyncRequest,
} from './fleetMessages.js';

const log = createLogger('fleet');

/** Interval between two sync rounds with a peer, in milliseconds. */
const SYNC_INTERVAL_MS = 250;
/** Timeout of one sync round, in milliseconds; the latency between peers is a few milliseconds. */
const SYNC_TIMEOUT_MS = 500;
/** Backoff after a failed round, in milliseconds; grows with the number of failures in a row. */
const BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/** Time after which a peer that is not a seed and does not answer is removed, in milliseconds. */
const EXPIRY_MS = 120_000;
/** A peer that was contacted within this time counts as reachable, in milliseconds. */
const REACHABLE_MS = 1_200;
/** Maximum number of registrations in one sync round. */
const MAX_BATCH = 2_000;

/** A peer with the identity that it reported last. @public */
export interface KnownPeer {
  readonly address: string;
  readonly identity: ControlIdentity | undefined;
  /** Monotonic time of its last message. */
  readonly lastContactAt: number;
}

/** Settings and callbacks of ControlPeers. @public */
export interface ControlPeersOptions {
  readonly links: LinkPool;
  readonly seeds: readonly string[];
  getIdentity(): ControlIdentity;
  /** Lists all registrations, which are sent in full to a peer that has just started. */
  listRegistrations(): ServerRegistration[];
  /** Called when the leader reports that this member was removed from the group. */
  onRemoved(): void;
}

interface PeerTask {
  readonly address: string;
  identity: ControlIdentity | undefined;
  lastContactAt: number;
  readonly startedAt: number;
  readonly outbox: Map<string, ServerRegistration>;
  isReachable: boolean;
  isStopped: boolean;
}

/**
 * Synchronises with the other control instances. One task for each peer sends registrations and
 * discovers further instances from the answers.
 *
 * @public
 */
export class ControlPeers {
  private readonly tasks = new Map<string, PeerTask>();
  private isStopped = false;

  constructor(private readonly options: ControlPeersOptions) {}

  // Commands.

  /** Starts to synchronise with the seeds. */
  start(): void {
    this.addAddresses(this.options.seeds);
  }

  /** Starts to synchronise with the instances that are not known yet. */
  addAddresses(addresses: readonly string[]): void {
    if (this.isStopped) return;
    const own = this.options.getIdentity().address;
    for (const address of addresses) {
      if (address === own || this.tasks.has(address)) continue;
      const task: PeerTask = {
        address,
        identity: undefined,
        lastContactAt: -Infinity,
        startedAt: performance.now(),
        outbox: new Map(),
        isReachable: false,
        isStopped: false,
      };
      this.tasks.set(address, task);
      void this.runTask(task);
    }
  }

  /** Queues a registration for the next round with every peer. */
  publish(registration: ServerRegistration): void {
    for (const {outbox} of this.tasks.values()) {
      outbox.set(registration.id, registration);
    }
  }

  /**
   * Sends a registration at once. Returns true if a peer has stored it, or if no peer is
   * reachable at all.
   */
  async publishNow(registration: ServerRegistration): Promise<boolean> {
    this.publish(registration);
    const tasks = [...this.tasks.values()];
    const sends = tasks.map(async task => {
      await this.runRound(task);
      return true;
    });
    try {
      return await Promise.any(sends);
    } catch (error) {
      log('registration_push_failed', {
        id: registration.id,
        error: String(error),
      });
      return !tasks.some(task => isReachable(task));
    }
  }

  /** Records the identity that a peer reported. */
  recordIdentity(identity: ControlIdentity): void {
    this.addAddresses([identity.address]);
    const task = this.tasks.get(identity.address);
    if (!task) return;
    this.applyIdentity(task, identity);
  }

  stop(): void {
    this.isStopped = true;
    for (const task of this.tasks.values()) task.isStopped = true;
  }

  // Queries.

  /** Lists the addresses of all known instances, including this one. */
  listAddresses(): string[] {
    return [this.options.getIdentity().address, ...this.tasks.keys()];
  }

  /** Lists the peers that were contacted recently. */
  listReachable(): KnownPeer[] {
    return [...this.tasks.values()].filter(isReachable);
  }

  /** Returns how long a peer has been silent, in milliseconds; 0 for an unknown peer. */
  getSilenceMs(address: string): number {
    const task = this.tasks.get(address);
    if (!task) return 0;
    return performance.now() - Math.max(task.lastContactAt, task.startedAt);
  }

  private async runTask(task: PeerTask): Promise<void> {
    let failures = 0;
    while (!task.isStopped) {
      try {
        await this.runRound(task);
        failures = 0;
        await pauseUnreferenced(SYNC_INTERVAL_MS);
      } catch (error) {
        failures += 1;
        this.handleFailure(task, error);
        const backoffMs = failures * BACKOFF_MS;
        const limitedMs = Math.min(backoffMs, MAX_BACKOFF_MS);
        await pauseUnreferenced(limitedMs);
      }
    }
  }

  private async runRound(task: PeerTask): Promise<void> {
    const batch = [...task.outbox.values()].slice(0, MAX_BATCH);
    const request: SyncRequest = {
      from: this.options.getIdentity(),
      registrations: batch,
      peers: this.listAddresses(),
    };
    const reply = await this.options.links.request<SyncReply>(
      task.address,
      FLEET_METHODS.sync,
      request,
      SYNC_TIMEOUT_MS,
    );
    for (const registration of batch) {
      const isSame = task.outbox.get(registration.id) === registration;
      if (isSame) task.outbox.delete(registration.id);
    }
    this.applyIdentity(task, reply.from);
    this.addAddresses(reply.peers);
    // A late reply may concern a member id that this instance has given up since.
    const {memberId} = this.options.getIdentity();
    if (reply.isRemoved && request.from.memberId === memberId) {
      this.options.onRemoved();
    }
  }

  private applyIdentity(task: PeerTask, identity: ControlIdentity): void {
    const isNew = task.identity?.incarnation !== identity.incarnation;
    task.identity = identity;
    task.lastContactAt = performance.now();
    if (!task.isReachable) {
      task.isReachable = true;
      writeDecision('peer_present', {
        peer: task.address,
        group: identity.group,
      });
    }
    if (!isNew) return;
    for (const registration of this.options.listRegistrations()) {
      task.outbox.set(registration.id, registration);
    }
  }

  private handleFailure(task: PeerTask, error: unknown): void {
    if (task.isReachable && !isReachable(task)) {
      task.isReachable = false;
      writeDecision('peer_lost', {peer: task.address, error: String(error)});
    }
    const silentMs = this.getSilenceMs(task.address);
    const isSeed = this.options.seeds.includes(task.address);
    if (isSeed || silentMs < EXPIRY_MS) return;
    task.isStopped = true;
    this.tasks.delete(task.address);
  }
}

function isReachable({lastContactAt}: {lastContactAt: number}): boolean {
  return performance.now() - lastContactAt < REACHABLE_MS;
}

/** Waits on the runtime's clock without keeping the process alive. */
function pauseUnreferenced(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}
