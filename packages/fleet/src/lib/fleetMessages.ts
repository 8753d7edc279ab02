/**
 * Messages among control instances, and between control instances and entries.
 *
 * @public
 */
import type {Membership} from '@sycamorehead/consensus';
import type {
  DemandTable,
  LimitTable,
  PrefillSumTable,
  WaitingTable,
} from '@sycamorehead/routing';
import type {
  JsonValue,
  RolloutEvidence,
  RouteConfiguration,
  ServerRegistration,
  ServiceRollout,
} from '@sycamorehead/schema';

/** Names of the RPC methods. @public */
export const FLEET_METHODS = {
  /** Control instance to control instance: registrations, identity and known peers. */
  sync: 'fleet.sync',
  /** Entry to control instance: starts the feed of updates. */
  subscribe: 'fleet.subscribe',
  /** Control instance to entry: notification of changes. */
  update: 'fleet.update',
  /** Entry to control instance: fetches the configuration that the instance has applied. */
  fetchConfiguration: 'fleet.fetchConfiguration',
  /**
   * Entry to control instance: reports load and evidence, and returns the load of the other
   * entries.
   */
  exchange: 'fleet.exchange',
  /** Control instance to control instance: the sums over the entries that report to it. */
  digest: 'fleet.digest',
  /** Control instance to the leader: stores an operator's configuration. */
  putConfiguration: 'fleet.putConfiguration',
  /** Control instance to the leader: reads the newest configuration. */
  readConfiguration: 'fleet.readConfiguration',
  /** Control instance to the leader: orders a roll-out. */
  startRollout: 'fleet.startRollout',
  /** Control instance to the leader: reads the newest roll-out of a service. */
  readRollout: 'fleet.readRollout',
  /** Tool to control instance, control instance to the leader: ends a quarantine of prompt segments. */
  releaseSegments: 'fleet.releaseSegments',
  /** Tool to control instance, control instance to the leader: evacuates a data centre or ends that. */
  setEvacuation: 'fleet.setEvacuation',
  /** Control instance to the leader: returns the index of what is committed. */
  confirmCommit: 'fleet.confirmCommit',
  /** Tool to control instance: describes the state of the fleet as the instance knows it. */
  describe: 'fleet.describe',
} as const;

/** A configuration as sent by the operator. @public */
export interface StoredConfiguration {
  /** 0 before the first configuration. */
  readonly version: number;
  readonly document: JsonValue;
}

/** The state of a fleet as one control instance knows it. @public */
export interface FleetDescription {
  readonly instance: string;
  /**
   * Whether the state includes all that was committed before the request. Otherwise it may be out of
   * date. Absent from earlier builds.
   */
  readonly isConfirmed?: boolean;
  /** Its role in the Raft group. */
  readonly role: string;
  /** Instance of the leader, if it is known. */
  readonly leader: string | undefined;
  readonly term: number;
  readonly members: Membership;
  /** Undefined before the first configuration. */
  readonly configuration: RouteConfiguration | undefined;
  readonly rollouts: readonly ServiceRollout[];
  readonly servers: readonly ServerListing[];
  /** Prompt segments in quarantine; absent from earlier builds. */
  readonly quarantined?: readonly QuarantinedSegments[];
  /** Names of the evacuated data centres; absent from earlier builds. */
  readonly evacuated?: readonly string[];
  /** The limits that servers name, by incarnation; absent from earlier builds. */
  readonly limits?: LimitTable;
}

/** Identity that a control instance reports to its peers. @public */
export interface ControlIdentity {
  /** Its peer address, `IP:PORT`. */
  readonly address: string;
  readonly instance: string;
  /** Random id of this run of the process. */
  readonly incarnation: string;
  /** Member id; empty until its storage has been read. */
  readonly memberId: string;
  /** Raft group of its log; empty if it belongs to none. */
  readonly group: string;
  /** Whether this instance has a disk for a replica of the log. */
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
  /** Set by a confirmed leader if its group no longer contains the sender's member id. */
  readonly isRemoved: boolean;
}

/** A server as reported to entries. @public */
export interface ServerListing {
  readonly registration: ServerRegistration;
  /** Whether it has missed several heartbeats. */
  readonly isSilent: boolean;
}

/**
 * Prompt segments in quarantine, as stored in the log. A prompt that has all of them is sent to no
 * backend server. A whole request stands among them under an id of its own, here and below.
 *
 * @public
 */
export interface QuarantinedSegments {
  readonly segments: readonly string[];
  /** Crashes that led to the quarantine. */
  readonly crashes: number;
  /** Time for which the leader keeps it in quarantine, in milliseconds. */
  readonly durationMs: number;
}

/** The prompt segments that no entry sends to backend servers. @public */
export interface QuarantineState {
  /** Number of changes so far; of two states the one with the higher revision is newer. */
  readonly revision: number;
  /** Prompts with all segments of one of these are in quarantine. */
  readonly combinations: ReadonlyArray<readonly string[]>;
}

/** The data centres to whose backend servers entries send no requests. @public */
export interface EvacuationState {
  /** Number of changes so far; of two states the one with the higher revision is newer. */
  readonly revision: number;
  readonly dataCentres: readonly string[];
  /**
   * Those that were evacuated before, since an entry may miss an order and its end; absent from earlier
   * builds.
   */
  readonly ended?: EndedEvacuations;
}

/** Data centres with the revision at which their evacuation ended last. @public */
export type EndedEvacuations = Readonly<Record<string, number>>;

/** A crash of a backend server, as reported by an entry that had requests there. @public */
export interface CrashReport {
  /** Incarnation of the server, `ID STARTED_AT_MS`. */
  readonly incarnation: string;
  /** Time since the crash was first observed, in milliseconds. */
  readonly ageMs: number;
  /** Requests and shared prompt segments that were in progress there and are not known to be sound. */
  readonly segments: readonly string[];
  /** Absent from earlier builds. */
  readonly service?: string;
}

/** Time since an answer to a prompt with a segment was last completed, in ms, by segment. @public */
export type SurvivalTable = Readonly<Record<string, number>>;

/** Evidence on the prompt segments under which backend servers crash. @public */
export interface CrashEvidenceReport {
  /** Absent from earlier builds. */
  readonly crashes?: readonly CrashReport[];
  /** Covers the suspected segments only; absent from earlier builds. */
  readonly survivals?: SurvivalTable;
}

/** Numbers of sends, by incarnation. @public */
export type PermitTable = Readonly<Record<string, number>>;

/** What control instances tell each other of the limits that servers name. @public */
export interface LimitDigest {
  /** Observed by the entries of the sender; absent from earlier builds. */
  readonly limits?: LimitTable;
}

/** What an entry reports of the limits that servers name. @public */
export interface LimitReport extends LimitDigest {
  /** What the entry was told and the last reply did not contain; absent from earlier builds. */
  readonly hearsay?: LimitTable;
  /** Sends for which it wants permits; absent from earlier builds. */
  readonly wanted?: PermitTable;
}

/** What a control instance answers to a LimitReport. @public */
export interface LimitReply {
  /** The newest limits that any entry has observed; absent from earlier builds. */
  readonly limits?: LimitTable;
  /** Sends that the entry may make soon; absent from earlier builds. */
  readonly permits?: PermitTable;
}

/** What an entry reports of cold servers. @public */
export interface ColdReport {
  /** Sends to cold servers for which it wants permits; absent from earlier builds. */
  readonly coldWanted?: PermitTable;
}

/** What a control instance answers to a ColdReport. @public */
export interface ColdReply {
  /** Sends to cold servers that the entry may make at once; absent from earlier builds. */
  readonly coldPermits?: PermitTable;
}

/** The age of a control instance's directory of servers. @public */
export interface DirectoryAge {
  /** Time since the instance began to accept registrations, in milliseconds. */
  readonly ageMs: number;
  /** Time within which each server that runs registers again, in milliseconds. */
  readonly fillMs: number;
}

/** Update from a control instance to its entries: the whole state first, then changes. @public */
export interface FleetUpdate {
  readonly servers?: readonly ServerListing[];
  /** Ids of the servers that are no longer listed. */
  readonly dropped?: readonly string[];
  readonly configurationVersion?: number;
  readonly rollouts?: readonly ServiceRollout[];
  readonly quarantine?: QuarantineState;
  /** Absent from earlier builds. */
  readonly evacuation?: EvacuationState;
  /**
   * Set in place of the evacuation while the instance does not know yet what was committed before it
   * started; absent from earlier builds.
   */
  readonly isCatchingUp?: boolean;
  /** How far the directory of servers has filled; in the first update only, absent from earlier builds. */
  readonly directory?: DirectoryAge;
  /** The limits that servers have named; in the first update only. */
  readonly limits?: LimitTable;
  /** Peer addresses of the control instances. */
  readonly controls?: readonly string[];
  readonly isLeading?: boolean;
  /** Data centre of the control instance. */
  readonly dataCentre?: string;
}

/**
 * Requests in flight on a server, and the estimated work whose answers have not begun, in ms. Absent
 * from earlier builds, and where they and all behind them are 0: the number of entries that have just
 * received something from it; the tokens that the requests need to their end; the tokens that it was
 * recently given to read; the number of its recent answers and the sum of the logarithms of their time
 * ratios, in hundredths (`ServerPace`).
 *
 * @public
 */
export type ServerLoad = readonly [
  inFlight: number,
  pendingMs: number,
  active?: number,
  heldTokens?: number,
  readTokens?: number,
  answers?: number,
  logRatios?: number,
];

/** Load by server id. @public */
export type LoadTable = Readonly<Record<string, ServerLoad>>;

/** Shared prompt segments that servers have just read, by server id, as hashes of model and id. @public */
export type PromptNewsTable = Readonly<Record<string, readonly number[]>>;

/** What is passed on of the prompts that servers have read. @public */
export interface PromptNews {
  /** Absent from earlier builds. */
  readonly prompts?: PromptNewsTable;
}

/** Load and evidence of one entry; parameters of `fleet.exchange`. @public */
export interface ExchangeRequest
  extends CrashEvidenceReport, LimitReport, ColdReport, PromptNews {
  readonly entry: string;
  readonly load: LoadTable;
  readonly evidence: readonly RolloutEvidence[];
  /**
   * Incarnations of servers that told this entry that they leave, `ID STARTED_AT_MS`; absent from
   * earlier builds.
   */
  readonly leaving?: readonly string[];
  /** Sessions, by service, that a roll-out leaves on the old version; absent from earlier builds. */
  readonly kept?: readonly string[];
  /** Measurements of prefill by model; absent from earlier builds. */
  readonly prefill?: PrefillSumTable;
  /** Demand and waiting requests by service; absent from earlier builds. */
  readonly demand?: DemandTable;
  /**
   * Whether it leaves out what the last report told and what changes slowly: prefill, demand but
   * for the requests that wait, and all but the first four numbers of the load. Absent from earlier builds.
   */
  readonly isBrief?: boolean;
  /** In place of the demand of a brief report. */
  readonly waiting?: WaitingTable;
}

/** Sums over the entries that report to one control instance; parameters of `fleet.digest`. @public */
export interface LoadDigest
  extends CrashEvidenceReport, LimitDigest, PromptNews {
  readonly instance: string;
  /** Number of entries that have reported recently. */
  readonly entries: number;
  /** The same of each control instance that the sender hears; absent from earlier builds. */
  readonly heard?: Readonly<Record<string, number>>;
  readonly load: LoadTable;
  readonly evidence: readonly RolloutEvidence[];
  readonly leaving: readonly string[];
  readonly kept?: readonly string[];
  readonly prefill?: PrefillSumTable;
  /** Demand and waiting requests by service; absent from earlier builds. */
  readonly demand?: DemandTable;
  /** Entries that have begun to report to this instance a short while ago. */
  readonly arrived: readonly string[];
}

/** Load of the other entries; answer to `fleet.exchange`. @public */
export interface ExchangeReply extends LimitReply, ColdReply, PromptNews {
  readonly entries: number;
  readonly load: LoadTable;
  /** Incarnations of servers that told other entries that they leave; absent from earlier builds. */
  readonly leaving?: readonly string[];
  /** Sessions that any entry keeps on the old version. */
  readonly kept?: readonly string[];
  /** Measurements of prefill of the other entries. */
  readonly prefill?: PrefillSumTable;
  /** Demand and waiting requests at the other entries; absent from earlier builds. */
  readonly demand?: DemandTable;
  /**
   * Whether the instance keeps what the entry told, so that its next reports may be brief; absent from
   * earlier builds.
   */
  readonly takesBrief?: boolean;
  /** Whether it leaves out what a brief report does, in answer to one; absent from earlier builds. */
  readonly isBrief?: boolean;
  /** In place of the demand of a brief reply. */
  readonly waiting?: WaitingTable;
  /** Suspected prompt segments, of which the entry reports the survivals; absent from earlier builds. */
  readonly suspects?: readonly string[];
  /** Requests and segments that may come into quarantine within a moment; absent from earlier builds. */
  readonly suspended?: readonly string[];
  /** Whether the instance hears too few others, so that load is missing. */
  readonly isIsolated?: boolean;
  /** Incarnation of the control instance that answers; absent from earlier builds. */
  readonly control?: string;
}
