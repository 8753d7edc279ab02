import {RouteDeclaration, SycamoreheadError} from '@sycamorehead/schema';
import type {CallerAnswer} from './CallerAnswer.js';
import type {RequestTarget} from './resolveTarget.js';
import {queryReachability} from './queryReachability.js';
import type {RetryBudgets} from './RetryBudgets.js';
import type {SendRecord} from './SendRecord.js';

/**
 * Tracks how often one request may have run, and decides whether it may run again.
 *
 * @internal
 */
export class RunTracker {
  private possibleRuns = 0;

  constructor(
    private readonly budgets: RetryBudgets,
    private readonly answer: Pick<CallerAnswer, 'isBegun'>,
  ) {}

  // Commands.

  /** Records a send after which the request may have run. */
  recordPossibleRun(): void {
    this.possibleRuns += 1;
  }

  /**
   * Checks that the request may be sent by the configuration in force, which may be newer than that of
   * its earlier sends.
   *
   * @throws SycamoreheadError `outcome_unknown` if it may have run and may not be repeated.
   */
  checkSend(target: RequestTarget): void {
    const {mayHaveRun, possibleRuns} = this;
    if (!mayHaveRun || this.isRunPermitted(target, possibleRuns)) return;
    throw new SycamoreheadError(
      'outcome_unknown',
      'the request may have run and may no longer be repeated',
    );
  }

  /**
   * Checks that a server that has not shown the end of its work on a stream cannot be reached; while
   * it can, another server would work on the stream at the same time.
   *
   * @throws SycamoreheadError `outcome_unknown`.
   */
  async checkUnreachable({reservation}: SendRecord): Promise<void> {
    const {address} = reservation.server.listing.registration;
    if ((await queryReachability(address)) !== 'accepting') return;
    throw new SycamoreheadError(
      'outcome_unknown',
      'the server may still work on the request',
    );
  }

  // Queries.

  /** Whether the request may have run. */
  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  /** Returns whether the request may run once more. */
  isRepeatAllowed(target: RequestTarget): boolean {
    return this.isRunAllowed(target, this.possibleRuns);
  }

  /** Returns whether the request may run once more even if the send under way runs it. */
  isRepeatAllowedAfterSend(target: RequestTarget): boolean {
    return this.isRunAllowed(target, this.possibleRuns + 1);
  }

  private isRunAllowed(target: RequestTarget, runs: number): boolean {
    return (
      this.isRunPermitted(target, runs) &&
      this.budgets.hasCapacity(target.service.name)
    );
  }

  /** Returns whether the route permits another run, whatever is left of the retry budget. */
  private isRunPermitted({route}: RequestTarget, runs: number): boolean {
    // An answer that has begun can only continue on another server if it is a stream.
    const canContinue = route.kind === 'streaming' || !this.answer.isBegun;
    return canContinue && isIdempotent(route) && runs < route.maxAttempts;
  }
}

/** Returns whether the requests of a route may run more than once. */
function isIdempotent({kind, isResumable}: RouteDeclaration): boolean {
  return kind === 'safe' || (kind === 'streaming' && isResumable);
}
