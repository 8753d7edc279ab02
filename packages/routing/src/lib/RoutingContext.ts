import type {KnownServer} from '@sycamorehead/membership';
import {AttemptTracker} from './AttemptTracker.js';
import {CustomerMeter} from './CustomerMeter.js';
import {ExtraWorkBudget} from './ExtraWorkBudget.js';
import {FleetView} from './FleetView.js';
import {InFlightWork} from './InFlightWork.js';
import {PeerUsage} from './PeerUsage.js';
import type {RoutedRequest} from './routingTypes.js';
import {ServerSpeeds} from './ServerSpeeds.js';
import {SlotReserve} from './SlotReserve.js';
import {WorkEstimator} from './WorkEstimator.js';

/** Share of the admitted work that hedges may add. */
const HEDGE_SHARE = 0.04;
const HEDGE_BURST_UNITS = 100;
/** Share of the admitted work that repeated attempts may add. */
const RETRY_SHARE = 0.1;
const RETRY_BURST_UNITS = 1_000;

/** Lists the servers that could run a request on some permitted version. @public */
export type EngineLister = (request: RoutedRequest) => KnownServer[];

/**
 * What the policies of one entry measure and share.
 *
 * @public
 */
export class RoutingContext {
  readonly inFlight = new InFlightWork();
  readonly estimator = new WorkEstimator();
  readonly speeds = new ServerSpeeds();
  readonly tracker = new AttemptTracker(this.estimator, this.speeds);
  readonly peers = new PeerUsage();
  readonly view = new FleetView(this.tracker, this.speeds, this.peers);
  readonly reserve = new SlotReserve();
  readonly meter = new CustomerMeter();
  readonly hedgeBudget = new ExtraWorkBudget(HEDGE_SHARE, HEDGE_BURST_UNITS);
  readonly retryBudget = new ExtraWorkBudget(RETRY_SHARE, RETRY_BURST_UNITS);
  private overloaded = false;

  constructor(
    readonly dataCentre: string,
    readonly listEngines: EngineLister,
  ) {
    this.speeds.listPeerMeasurements = server =>
      this.peers.listSpeedMeasurements(server);
  }

  // Commands.

  /** Notes whether requests wait for servers; extra work stops while they do. */
  setOverloaded(isOverloaded: boolean): void {
    this.overloaded = isOverloaded;
    this.hedgeBudget.setSuspended(isOverloaded);
    this.retryBudget.setSuspended(isOverloaded);
  }

  // Queries.

  /** Whether requests wait for servers. */
  get isOverloaded(): boolean {
    return this.overloaded;
  }
}
