import {buildRefusal} from './refusals.js';
import type {RetryBudgets} from './RetryBudgets.js';

/**
 * Charges the sends of one request beyond its first to the retry budget of their service, each once.
 *
 * @internal
 */
export class ExtraSends {
  private hasSent = false;
  /** The service whose budget has been charged for the next send. */
  private chargedService: string | undefined;

  constructor(private readonly budgets: RetryBudgets) {}

  /** Records that the request was sent, which uses the charge up. */
  recordSend(): void {
    this.hasSent = true;
    this.chargedService = undefined;
  }

  /** Charges the next send, if it is not the first, and returns whether the budget allows it. */
  tryAcquire(service: string): boolean {
    if (!this.hasSent || this.chargedService === service) return true;
    if (!this.budgets.acquire(service)) return false;
    this.chargedService = service;
    return true;
  }

  /**
   * Charges the next send, if it is not the first.
   *
   * @throws SycamoreheadError `overloaded`, or `outcome_unknown` if the request may have run, if the budget
   * does not allow it.
   */
  acquire(service: string, mayHaveRun: boolean): void {
    if (this.tryAcquire(service)) return;
    throw buildRefusal('the retry budget is used up', mayHaveRun);
  }
}
