/**
 * Messages between control instances, and between them and entries.
 *
 * @public
 */
import type {Membership} from '@sycamorehead/consensus';
import type {
  JsonValue,
  RolloutEvidence,
  RouteConfiguration,
  ServerRegistration,
  ServiceRollout,
} from '@sycamorehead/schema';

/** Names of the methods on links. @public */
export const FLEET_METHODS = {
  /** Control to control: registrations, identity, known peers. */
  sync: 'fleet.sync',
  /** Entry to control: begins the feed of updates. */
  subscribe: 'fleet.subscribe',
  /** Control to entry, a notification: what has changed. */
  update: 'fleet.update',
  /** Entry to control: the configuration that this control instance has applied. */
  fetchConfiguration: 'fleet.fetchConfiguration',
  /** Entry to control: load and evidence against those of all entries. */
  exchange: 'fleet.exchange',
  /** Control to the leader. */
  putConfiguration: 'fleet.putConfiguration',
  readConfiguration: 'fleet.readConfiguration',
  startRollout: 'fleet.startRollout',
  readRollout: 'fleet.readRollout',
  /** Tool to control: what this control instance has applied and knows. */
  describe: 'fleet.describe',
} as const;

/** A configuration as the operator sent it. @public */
export interface StoredConfiguration {
  /** 0 before the first. */
  readonly version: number;
  readonly document: JsonValue;
}

/** What one control instance has applied and knows. @public */
export interface FleetDescription {
  readonly instance: string;
  /** Its part in the replicated log. */
  readonly role: string;
  /** Instance that leads, where one is known. */
  readonly leader: string | undefined;
  readonly term: number;
  readonly members: Membership;
  /** Undefined before the first configuration. */
  readonly configuration: RouteConfiguration | undefined;
  readonly rollouts: readonly ServiceRollout[];
  readonly servers: readonly ServerListing[];
}

/** Who a control instance is, as it tells its peers. @public */
export interface ControlIdentity {
  /** Address of its links, `IP:PORT`. */
  readonly address: string;
  readonly instance: string;
  /** Drawn at each start of the process. */
  readonly incarnation: string;
  /** Member id; empty until its storage is read. */
  readonly memberId: string;
  /** Group of its log; empty while it belongs to none. */
  readonly group: string;
  /** Whether this instance has a disk for a copy of the log. */
  readonly isStoring: boolean;
}

/** Parameters of `fleet.sync`. @public */
export interface SyncRequest {
  readonly from: ControlIdentity;
  readonly registrations: readonly ServerRegistration[];
  readonly peers: readonly string[];
}

/** Answer to `fleet.sync`. @public */
export interface SyncReply {
  readonly from: ControlIdentity;
  readonly peers: readonly string[];
  /** Set by a confirmed leader for a member id that its group no longer has. */
  readonly isRemoved: boolean;
}

/** A server as entries see it. @public */
export interface ServerListing {
  readonly registration: ServerRegistration;
  /** Whether it has missed several heartbeats. */
  readonly isSilent: boolean;
}

/** What a control instance tells its entries: everything at first, then what has changed. @public */
export interface FleetUpdate {
  readonly servers?: readonly ServerListing[];
  /** Ids of servers that are no longer listed. */
  readonly dropped?: readonly string[];
  readonly configurationVersion?: number;
  readonly rollouts?: readonly ServiceRollout[];
  /** Addresses of the control instances' links. */
  readonly controls?: readonly string[];
  readonly isLeading?: boolean;
}

/** Requests in flight at a server, and their work that has not begun to answer, in ms. @public */
export type ServerLoad = readonly [inFlight: number, pendingMs: number];

/** Load by server id. @public */
export type LoadTable = Readonly<Record<string, ServerLoad>>;

/** Load that one entry has placed. @public */
export interface ExchangeRequest {
  readonly entry: string;
  readonly load: LoadTable;
  readonly evidence: readonly RolloutEvidence[];
}

/** Load that the other entries have placed. @public */
export interface ExchangeReply {
  readonly entries: number;
  readonly load: LoadTable;
}
