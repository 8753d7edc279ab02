import {Announcement, VersionRef} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('membership');

/** Time without announcements after which a backend server is dropped, in milliseconds. */
const EXPIRY_MS = 4_000;
/** Time for which the order of a dropped server's announcements is remembered, in milliseconds. */
const FORGET_MS = 60_000;
const MAX_SERVERS = 20_000;

/** A backend server as this entry knows it. @public */
export interface KnownServer {
  readonly announcement: Announcement;
  /** Monotonic time at which the newest announcement arrived. */
  readonly heardAt: number;
}

/**
 * The backend servers that an entry knows, ordered by generation and sequence of what they
 * announced, so that a late announcement never replaces a newer one.
 *
 * @public
 */
export class BackendServerDirectory {
  private readonly servers = new Map<string, KnownServer>();

  // Commands.

  /**
   * Takes an announcement, heard from the server itself or from a peer.
   *
   * @returns whether it was newer than what was known.
   * @example
   * ```ts
   * if (directory.receive(announcement)) gossip.announce(announcement);
   * ```
   */
  receive(announcement: Announcement): boolean {
    const before = this.servers.get(announcement.id);
    if (before && !isNewer(announcement, before.announcement)) return false;
    if (!before && this.servers.size >= MAX_SERVERS) {
      log('directory_full', {id: announcement.id});
      return false;
    }
    this.servers.set(announcement.id, {
      announcement,
      heardAt: performance.now(),
    });
    if (before?.announcement.state !== announcement.state) {
      log('backend_server', {id: announcement.id, state: announcement.state});
    }
    return true;
  }

  /** Forgets servers that have been silent for long. */
  expire(): void {
    const oldest = performance.now() - FORGET_MS;
    for (const [id, {heardAt}] of this.servers) {
      if (heardAt < oldest) this.servers.delete(id);
    }
  }

  // Queries.

  /** Lists the servers that may be given new work. */
  listReady(): KnownServer[] {
    const oldest = performance.now() - EXPIRY_MS;
    return [...this.servers.values()].filter(
      ({announcement, heardAt}) =>
        announcement.state === 'ready' && heardAt >= oldest,
    );
  }

  /** Lists every server still remembered, whatever its state. */
  listAll(): KnownServer[] {
    return [...this.servers.values()];
  }

  /** Lists the ready engines that have a version loaded. */
  listEngines(version: VersionRef): KnownServer[] {
    return this.listReady().filter(
      ({announcement}) =>
        announcement.kind === 'engine' &&
        announcement.versions.some(
          loaded =>
            loaded.model === version.model &&
            loaded.version === version.version,
        ),
    );
  }

  /** Lists the ready replicas of a plain service. */
  listReplicas(service: string): KnownServer[] {
    return this.listReady().filter(
      ({announcement}) =>
        announcement.kind === 'service' && announcement.service === service,
    );
  }
}

function isNewer(next: Announcement, before: Announcement): boolean {
  if (next.generation !== before.generation) {
    return next.generation > before.generation;
  }
  return next.sequence > before.sequence;
}
