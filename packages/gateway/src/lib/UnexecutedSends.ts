import {buildRefusal} from './refusals.js';

/** Maximum number of sends that servers refuse without running the request; they are no attempts. */
const MAX_REFUSED_SENDS = 4;
/** Maximum number of sends that fail before a byte has left; a server that is gone costs little time. */
const MAX_UNSENT_SENDS = 16;

/**
 * Counts the sends of one request that provably did not run it, by their outcome.
 *
 * @internal
 */
export class UnexecutedSends {
  private readonly counts = {refused: 0, unsent: 0};

  /**
   * Records a send, after which the request may go to another server.
   *
   * @throws SycamoreheadError `overloaded`, or `outcome_unknown` if the request may have run, if no further
   * send is allowed.
   */
  record(type: 'refused' | 'unsent', mayHaveRun: boolean): void {
    this.counts[type] += 1;
    const {refused, unsent} = this.counts;
    if (refused <= MAX_REFUSED_SENDS && unsent <= MAX_UNSENT_SENDS) return;
    throw buildRefusal(`${type} by several servers`, mayHaveRun);
  }
}
