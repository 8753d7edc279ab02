import {ServerRegistration, isNewerRegistration} from '@sycamorehead/schema';
import type {ServerListing} from './fleetMessages.js';

/** How long a server may miss its heartbeats, in milliseconds. @public */
export interface RegistryTimeouts {
  /** Silence after which other servers are preferred. */
  readonly silentMs: number;
  /** Silence after which a server is no longer listed. */
  readonly expiryMs: number;
  /** Time for which a server that has gone is remembered, so that a late heartbeat is known. */
  readonly tombstoneMs: number;
}

interface Entry {
  registration: ServerRegistration;
  heardAt: number;
  isSilent: boolean;
}

/** Servers remembered at most; beyond it new ones are not taken in. */
const MAX_SERVERS = 50_000;

/**
 * What is known of the backend servers, by id. Registrations may arrive late, twice and out of
 * order; each is ordered against what is known of the same server and of the same address.
 *
 * @public
 */
export class ServerRegistry {
  private readonly entries = new Map<string, Entry>();
  private readonly idsByAddress = new Map<string, string>();

  constructor(private readonly times: RegistryTimeouts) {}

  // Commands.

  /** Takes a registration in; returns whether what is known has changed by more than its age. */
  accept(registration: ServerRegistration): boolean {
    const known = this.entries.get(registration.id);
    if (known && !isNewerRegistration(registration, known.registration)) {
      return false;
    }
    if (!known && this.entries.size >= MAX_SERVERS) return false;
    if (!this.takeAddress(registration)) return false;
    const isChanged =
      !known ||
      known.isSilent ||
      !isSamePlace(known.registration, registration);
    this.entries.set(registration.id, {
      registration,
      heardAt: performance.now(),
      isSilent: false,
    });
    return isChanged;
  }

  /** Marks silent servers and drops expired ones; returns the ids that changed. */
  expire(): {changed: string[]; dropped: string[]} {
    const now = performance.now();
    const changed: string[] = [];
    const dropped: string[] = [];
    for (const [id, entry] of this.entries) {
      const silentMs = now - entry.heardAt;
      const isGone = entry.registration.state === 'gone';
      const limitMs = isGone ? this.times.tombstoneMs : this.times.expiryMs;
      if (silentMs > limitMs) {
        this.remove(id, entry);
        dropped.push(id);
        continue;
      }
      if (entry.isSilent || isGone || silentMs < this.times.silentMs) continue;
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

  /** Lists every server that is remembered, those that have gone included. */
  list(): ServerListing[] {
    return [...this.entries.values()].map(describeEntry);
  }

  /** An address belongs to the server that started there last. */
  private takeAddress(registration: ServerRegistration): boolean {
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

  private remove(id: string, {registration}: Entry): void {
    this.entries.delete(id);
    const {address} = registration;
    if (this.idsByAddress.get(address) === id) {
      this.idsByAddress.delete(address);
    }
  }
}

function describeEntry({registration, isSilent}: Entry): ServerListing {
  return {registration, isSilent};
}

function isSamePlace(
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
