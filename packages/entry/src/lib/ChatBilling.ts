import {Bill, SycamoreheadError} from '@sycamorehead/schema';
import type {ChatDependencies, ChatTask, PlannedAnswer} from './answerTypes.js';
import {computeModelBill} from './computeModelBill.js';

/**
 * Computes and commits the bills of model answers. Each request has one bill, which covers all of
 * the work that was run for its answer.
 *
 * @internal
 */
export class ChatBilling {
  constructor(private readonly dependencies: ChatDependencies) {}

  /** Commits the bill of an answer as a separate command. */
  async record(task: ChatTask, answer: PlannedAnswer): Promise<void> {
    const bill = this.compute(task, answer);
    const {control, commits} = this.dependencies;
    const {isNew} = await commits.commit(bill.requestKey, () =>
      control.recordBill(bill),
    );
    if (isNew) this.count(bill);
  }

  /**
   * Computes the bill of an answer.
   *
   * @throws SycamoreheadError `incomplete_answer` if the usage is unknown.
   */
  compute(task: ChatTask, answer: PlannedAnswer): Bill {
    const charges = answer.listCharges();
    if (charges.length === 0) {
      throw new SycamoreheadError(
        'incomplete_answer',
        'the terminal frame has no usage',
      );
    }
    return computeModelBill({
      requestKey: task.requestKey,
      requestId: task.routed.requestId,
      customer: task.routed.customer.customer,
      revision: answer.revision,
      charges,
    });
  }

  /** Counts a committed bill in the metrics. */
  count({customer, item, amountMicros}: Bill): void {
    this.dependencies.metrics.billed.inc(
      {customer, version: item},
      amountMicros,
    );
  }
}
