import type {EvacuationState, FleetUpdate} from '@sycamorehead/fleet';
import {writeDecision} from '@sycamorehead/telemetry';

const NO_EVACUATION: EvacuationState = {revision: 0, dataCentres: []};

/**
 * The evacuated data centres as this entry knows them. It may send nothing to their backend servers.
 *
 * @public
 */
export class EvacuationView {
  private state = NO_EVACUATION;
  private isExpected = false;

  // Commands.

  /** Makes the evacuation unknown until a control instance has told it. */
  expectState(): void {
    this.isExpected = true;
  }

  /**
   * Applies an update and returns the data centres that are no longer evacuated, also if their order was
   * missed. A state that is older than the known one is ignored.
   */
  update(update: FleetUpdate): readonly string[] {
    const {evacuation} = update;
    if (!evacuation) {
      if (isFromEarlierBuild(update)) this.isExpected = false;
      return [];
    }
    const {revision, dataCentres, ended = {}} = evacuation;
    const previous = this.state;
    const isFirst = this.isExpected;
    this.isExpected = false;
    const isNewer = revision > previous.revision;
    if (isNewer) this.state = evacuation;
    if (isNewer || isFirst) {
      writeDecision('evacuation_in_force', {
        revision: this.state.revision,
        data_centres: this.state.dataCentres.join(','),
      });
    }
    if (!isNewer) return [];
    // What ended before this entry was first told is no news.
    const missed = isFirst
      ? []
      : Object.keys(ended).filter(
          name => (ended[name] ?? 0) > previous.revision,
        );
    return [...new Set([...previous.dataCentres, ...missed])].filter(
      name => !dataCentres.includes(name),
    );
  }

  // Queries.

  /** Whether it is known which data centres are evacuated. */
  get isKnown(): boolean {
    return !this.isExpected;
  }

  /** The number of evacuated data centres. */
  get count(): number {
    return this.state.dataCentres.length;
  }

  /** Returns whether nothing may be sent to the servers of a data centre, or may be for all that is known. */
  isClosed(dataCentre: string): boolean {
    return !this.isKnown || this.isEvacuated(dataCentre);
  }

  /** Returns whether a data centre is known to be evacuated. */
  isEvacuated(dataCentre: string): boolean {
    const {dataCentres} = this.state;
    // Each decision asks for all servers, and hardly ever is any data centre evacuated.
    return dataCentres.length > 0 && dataCentres.includes(dataCentre);
  }
}

/** Returns whether an update holds the whole state of an instance that knows no evacuations. */
function isFromEarlierBuild({
  configurationVersion,
  isCatchingUp,
}: FleetUpdate): boolean {
  return configurationVersion !== undefined && !isCatchingUp;
}
