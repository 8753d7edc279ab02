import type {
  AnswerValues,
  ConfidenceGains,
  EngineTimePrices,
  ForwardPolicy,
  ModelPolicy,
  PrefillRates,
} from '@sycamorehead/routing';
import type {AnswerTimes} from './AnswerTimes.js';
import type {CrashObserver} from './CrashObserver.js';
import type {EntryMonitor} from './EntryMonitor.js';
import type {GatewayMetrics} from './GatewayMetrics.js';
import type {HeaderNames} from './headerNames.js';
import type {Placement} from './Placement.js';
import type {RetryBudgets} from './RetryBudgets.js';
import type {RouteTable} from './RouteTable.js';
import type {SegmentQuarantine} from './SegmentQuarantine.js';
import type {ServerTable} from './ServerTable.js';
import type {StartupGate} from './StartupGate.js';
import type {VersionSplit} from './VersionSplit.js';

/** Policies of a gateway; each can be set to a baseline. @public */
export interface GatewayPolicies {
  readonly server: ForwardPolicy;
  readonly model: ModelPolicy;
  /** What a thousand tokens of a good answer are worth, in the unit of the models' costs. */
  readonly answerValue: number;
}

/** Dependencies of the forwarding of one request. @public */
export interface ForwardContext {
  readonly names: HeaderNames;
  readonly monitor: EntryMonitor;
  readonly policies: GatewayPolicies;
  readonly servers: ServerTable;
  readonly versions: VersionSplit;
  readonly placement: Placement;
  readonly budgets: RetryBudgets;
  readonly times: AnswerTimes;
  readonly rates: PrefillRates;
  readonly gains: ConfidenceGains;
  readonly values: AnswerValues;
  readonly timePrices: EngineTimePrices;
  readonly metrics: GatewayMetrics;
  readonly startup: StartupGate;
  readonly crashes: CrashObserver;
  readonly quarantine: SegmentQuarantine;
  /** The routes in force here, or undefined before the first configuration. */
  getRoutes(): RouteTable | undefined;
}
