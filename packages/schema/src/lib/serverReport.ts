/**
 * What entries report to control about backend servers, for the placement of versions.
 *
 * @public
 */
import type {Announcement} from './announcement.js';

/** One engine as an entry knows it; what changes each second is left out. @public */
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
  /** Versions that the engine can hold at once. */
  readonly versionSlots: number;
  /** Whether the entry has had a sign of life lately. */
  readonly alive: boolean;
}

/** Requests running and queued, and the slots for them, over an entry's engines. @public */
export interface VersionLoad {
  readonly busy: number;
  readonly slots: number;
}

/** A periodic report of one entry. @public */
export interface ServerReport {
  readonly entry: string;
  /** Whether `servers` are all that the entry holds; else they are what has changed. */
  readonly full: boolean;
  readonly servers: readonly ReportedServer[];
  /** Servers that the entry no longer holds. */
  readonly dropped: readonly string[];
  /** Load by `model/version`. */
  readonly loads: Readonly<Record<string, VersionLoad>>;
}

/** Answer to a report. @public */
export interface ServerReportResponse {
  /** Whether the next report must be a full one: this leader lacks the earlier ones. */
  readonly needsFull: boolean;
}

/** The call by which entries report backend servers to control. @public */
export interface PlacementApi {
  reportServers(report: ServerReport): Promise<ServerReportResponse>;
}
