import {ServerRegistration, isNewerRegistration} from '@sycamorehead/schema';
import type {DirectoryAge, ServerListing} from './fleetMessages.js';

/** Timeouts of servers that miss their heartbeats, in milliseconds. @public */
export interface RegistryTimeouts {
  /** Silence after which other servers are preferred. */
  readonly silentMs: number;
  /** Silence after which a server is no longer listed. */
  readonly expiryMs: number;
  /** Time for which a stopped server is retained, so that a late heartbeat does not revive it. */
  readonly tombstoneMs: number;
  /** Time within which each server that runs registers again; undefined if it is not known. */
  readonly fillMs?: number;
}

interface RegistryEntry {
  registration: ServerRegistration;
  /** The time until which the server stays cold, as was last told, on the monotonic clock. */
  coldUntil: number;
  receivedAt: number;
  isSilent: boolean;
}

/** Prolongation from which it is told again how long a server stays cold, in milliseconds. */
const COLD_LONGER_MS = 20;
/** The same if it is cold for a shorter time, which breaks no bound. */
const COLD_SHORTER_MS = 250;
/** Maximum number of retained servers; further ones are rejected. */
const MAX_SERVERS = 50_000;

/**
 * Registrations of the backend servers by id. Registrations may arrive late, repeatedly and out of
 * order, so each is compared with the newest one of the same server and of the same address.
 *
 * @public
 */
export class ServerRegistry {
  private readonly entries = new Map<string, RegistryEntry>();
  private readonly idsByAddress = new Map<string, string>();
  private readonly createdAt = performance.now();

  constructor(
    private readonly timeouts: RegistryTimeouts,
    /** Returns whether the requests to cold servers of a service are bounded. */
    private readonly hasWarmup: (service: string) => boolean = () => false,
  ) {}

  // Commands.

  /** Accepts a registration; returns whether anything but its sequence number has changed. */
  accept(registration: ServerRegistration): boolean {
    const known = this.entries.get(registration.id);
    if (known && !isNewerRegistration(registration, known.registration)) {
      return false;
    }
    if (!known && this.entries.size >= MAX_SERVERS) return false;
    if (!this.assignAddress(registration)) return false;
    const coldUntil = performance.now() + (registration.slowStartMs ?? 0);
    const isChanged =
      !known ||
      known.isSilent ||
      !isEquivalent(known.registration, registration) ||
      (this.hasWarmup(registration.service) &&
        hasColdnessChanged(known.coldUntil, coldUntil));
    this.entries.set(registration.id, {
      registration,
      coldUntil: isChanged ? coldUntil : known.coldUntil,
      receivedAt: performance.now(),
      isSilent: false,
    });
    return isChanged;
  }

  /** Marks silent servers and removes expired ones; returns the affected ids. */
  expire(): {changed: string[]; dropped: string[]} {
    const now = performance.now();
    const changed: string[] = [];
    const dropped: string[] = [];
    for (const [id, entry] of this.entries) {
      const silentMs = now - entry.receivedAt;
      const isStopped = entry.registration.state === 'gone';
      const limitMs = isStopped
        ? this.timeouts.tombstoneMs
        : this.timeouts.expiryMs;
      if (silentMs > limitMs) {
        this.remove(id, entry);
        dropped.push(id);
        continue;
      }
      if (entry.isSilent || isStopped || silentMs < this.timeouts.silentMs)
        continue;
      entry.isSilent = true;
      changed.push(id);
    }
    return {changed, dropped};
  }

  // Queries.

  /** Finds one server. */
  find(id: string): ServerListing | undefined {
    const entry = this.entries.get(id);
    return entry && describeEntry(entry);
  }

  /** Describes how far the directory has filled; undefined if it is not known how often servers register. */
  describeAge(): DirectoryAge | undefined {
    const {fillMs} = this.timeouts;
    if (fillMs === undefined) return undefined;
    return {ageMs: performance.now() - this.createdAt, fillMs};
  }

  /** Lists all retained servers, including those that have stopped. */
  list(): ServerListing[] {
    return [...this.entries.values()].map(describeEntry);
  }

  /** Assigns the address to the server that started there last; returns false for an earlier one. */
  private assignAddress(registration: ServerRegistration): boolean {
    const holderId = this.idsByAddress.get(registration.address);
    if (holderId !== undefined && holderId !== registration.id) {
      const holder = this.entries.get(holderId);
      const isLate =
        holder !== undefined &&
        holder.registration.startedAtMs > registration.startedAtMs;
      if (isLate) return false;
      if (holder && holder.registration.state !== 'gone') {
        holder.registration = {...holder.registration, state: 'gone'};
      }
    }
    if (registration.state !== 'gone' || holderId === undefined) {
      this.idsByAddress.set(registration.address, registration.id);
    }
    return true;
  }

  private remove(id: string, {registration}: RegistryEntry): void {
    this.entries.delete(id);
    const {address} = registration;
    if (this.idsByAddress.get(address) === id) {
      this.idsByAddress.delete(address);
    }
  }
}

function describeEntry({registration, isSilent}: RegistryEntry): ServerListing {
  return {registration, isSilent};
}

/** Returns whether what was told of a server's coldness no longer holds. */
function hasColdnessChanged(toldUntil: number, coldUntil: number): boolean {
  const now = performance.now();
  const toldMs = Math.max(0, toldUntil - now);
  const leftMs = Math.max(0, coldUntil - now);
  return leftMs - toldMs > COLD_LONGER_MS || toldMs - leftMs > COLD_SHORTER_MS;
}

function isEquivalent(
  left: ServerRegistration,
  right: ServerRegistration,
): boolean {
  return (
    left.startedAtMs === right.startedAtMs &&
    left.state === right.state &&
    left.address === right.address &&
    left.service === right.service &&
    left.version === right.version &&
    left.slots === right.slots
  );
}
