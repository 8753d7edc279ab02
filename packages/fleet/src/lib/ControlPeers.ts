import {setTimeout as sleep} from 'node:timers/promises';
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

/** Time between two rounds with a peer, in milliseconds. */
const SYNC_INTERVAL_MS = 250;
/** Time allowed for one round, in milliseconds; links are a few milliseconds long. */
const SYNC_TIMEOUT_MS = 500;
/** Pause after a failed round, in milliseconds; grows with the number of failures. */
const FAILURE_PAUSE_MS = 250;
const MAX_FAILURE_PAUSE_MS = 2_000;
/** Time after which an address that was never a seed and does not answer is forgotten. */
const FORGET_MS = 120_000;
/** A peer heard within this time counts as there, in milliseconds. */
const PRESENT_MS = 1_200;
/** Registrations sent in one round. */
const MAX_BATCH = 2_000;

/** A peer as it described itself last. @public */
export interface KnownPeer {
  readonly address: string;
  readonly identity: ControlIdentity | undefined;
  /** When its last answer arrived, on the monotonic clock. */
  readonly heardAt: number;
}

/** What the exchange with the peers needs. @public */
export interface ControlPeersOptions {
  readonly links: LinkPool;
  readonly seeds: readonly string[];
  getIdentity(): ControlIdentity;
  /** Everything that a peer which has just started must learn. */
  listRegistrations(): ServerRegistration[];
  /** Called when the group says that this member was removed. */
  onRemoved(): void;
}

interface PeerTask {
  readonly address: string;
  identity: ControlIdentity | undefined;
  heardAt: number;
  readonly startedAt: number;
  readonly outbox: Map<string, ServerRegistration>;
  isPresent: boolean;
  isStopped: boolean;
}

/**
 * Keeps in touch with the other control instances: one task for each, which sends registrations
 * and learns of further instances.
 *
 * @public
 */
export class ControlPeers {
  private readonly tasks = new Map<string, PeerTask>();
  private isStopped = false;

  constructor(private readonly options: ControlPeersOptions) {}

  // Commands.

  /** Begins with the seeds. */
  start(): void {
    this.addAddresses(this.options.seeds);
  }

  /** Begins to exchange with instances that are not known yet. */
  addAddresses(addresses: readonly string[]): void {
    if (this.isStopped) return;
    const own = this.options.getIdentity().address;
    for (const address of addresses) {
      if (address === own || this.tasks.has(address)) continue;
      const task: PeerTask = {
        address,
        identity: undefined,
        heardAt: -Infinity,
        startedAt: performance.now(),
        outbox: new Map(),
        isPresent: false,
        isStopped: false,
      };
      this.tasks.set(address, task);
      void this.runTask(task);
    }
  }

  /** Puts a registration into the next round with every peer. */
  publish(registration: ServerRegistration): void {
    for (const {outbox} of this.tasks.values()) {
      outbox.set(registration.id, registration);
    }
  }

  /**
   * Sends a registration at once; returns whether another instance that is present holds it, or
   * none is present at all.
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
      log('share_failed', {id: registration.id, error: String(error)});
      return !tasks.some(task => isPresent(task));
    }
  }

  /** Notes what a peer said of itself. */
  recordIdentity(identity: ControlIdentity): void {
    this.addAddresses([identity.address]);
    const task = this.tasks.get(identity.address);
    if (!task) return;
    this.takeIdentity(task, identity);
  }

  stop(): void {
    this.isStopped = true;
    for (const task of this.tasks.values()) task.isStopped = true;
  }

  // Queries.

  /** Lists the addresses of all instances known, the own one included. */
  listAddresses(): string[] {
    return [this.options.getIdentity().address, ...this.tasks.keys()];
  }

  /** Lists the peers that were heard lately. */
  listReachable(): KnownPeer[] {
    return [...this.tasks.values()].filter(isPresent);
  }

  /** Tells how long a peer has been silent, in milliseconds. */
  getSilenceMs(address: string): number {
    const task = this.tasks.get(address);
    if (!task) return 0;
    return performance.now() - Math.max(task.heardAt, task.startedAt);
  }

  private async runTask(task: PeerTask): Promise<void> {
    let failures = 0;
    while (!task.isStopped) {
      try {
        await this.runRound(task);
        failures = 0;
        await sleep(SYNC_INTERVAL_MS, undefined, {ref: false});
      } catch (error) {
        failures += 1;
        this.noteFailure(task, error);
        const pauseMs = failures * FAILURE_PAUSE_MS;
        const limitedMs = Math.min(pauseMs, MAX_FAILURE_PAUSE_MS);
        await sleep(limitedMs, undefined, {ref: false});
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
    this.takeIdentity(task, reply.from);
    this.addAddresses(reply.peers);
    if (reply.isRemoved) this.options.onRemoved();
  }

  private takeIdentity(task: PeerTask, identity: ControlIdentity): void {
    const isNew = task.identity?.incarnation !== identity.incarnation;
    task.identity = identity;
    task.heardAt = performance.now();
    if (!task.isPresent) {
      task.isPresent = true;
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

  private noteFailure(task: PeerTask, error: unknown): void {
    if (task.isPresent && !isPresent(task)) {
      task.isPresent = false;
      writeDecision('peer_lost', {peer: task.address, error: String(error)});
    }
    const silentMs = this.getSilenceMs(task.address);
    const isSeed = this.options.seeds.includes(task.address);
    if (isSeed || silentMs < FORGET_MS) return;
    task.isStopped = true;
    this.tasks.delete(task.address);
  }
}

function isPresent({heardAt}: {heardAt: number}): boolean {
  return performance.now() - heardAt < PRESENT_MS;
}
