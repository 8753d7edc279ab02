/**
 * Reports of entries to control about backend servers, used for the placement of versions.
 *
 * @public
 */
import type {Announcement} from './announcement.js';

/** One engine as known to an entry, without the load figures that change every second. @public */
export interface ReportedServer extends Pick<
  Announcement,
  | 'id'
  | 'address'
  | 'dataCentre'
  | 'generation'
  | 'sequence'
  | 'state'
  | 'versions'
  | 'slots'
  | 'fencing'
> {
  /** Number of versions that the engine can have loaded at once. */
  readonly versionSlots: number;
  /** Whether the entry has recently received an announcement or heartbeat of the engine. */
  readonly alive: boolean;
}

/** Number of running and queued requests and number of slots, over an entry's engines. @public */
export interface VersionLoad {
  readonly busy: number;
  readonly slots: number;
}

/** A periodic report of one entry. @public */
export interface ServerReport {
  readonly entry: string;
  /**
   * Whether `servers` lists all engines that the entry tracks, rather than only the changed ones.
   */
  readonly full: boolean;
  readonly servers: readonly ReportedServer[];
  /** Servers that the entry no longer tracks. */
  readonly dropped: readonly string[];
  /** Load by `model/version`. */
  readonly loads: Readonly<Record<string, VersionLoad>>;
}

/** Response to a report. @public */
export interface ServerReportResponse {
  /** Whether the next report must be a full one, because this leader lacks the earlier reports. */
  readonly needsFull: boolean;
}

/** The method with which entries report backend servers to control. @public */
export interface PlacementApi {
  reportServers(report: ServerReport): Promise<ServerReportResponse>;
}
