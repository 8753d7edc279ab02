import {Bill, SycamoreheadError} from '@sycamorehead/schema';
import type {ChatDependencies, ChatTask, PlannedAnswer} from './answerTypes.js';
import {computeModelBill} from './computeModelBill.js';

/**
 * Bills of model answers: one for each request, for everything that its answer took to run.
 *
 * @internal
 */
export class ChatBilling {
  constructor(private readonly parts: ChatDependencies) {}

  /** Commits the bill of an answer by itself. */
  async record(task: ChatTask, answer: PlannedAnswer): Promise<void> {
    const bill = this.compute(task, answer);
    const {control, commits} = this.parts;
    const {isNew} = await commits.commit(bill.requestKey, () =>
      control.recordBill(bill),
    );
    if (isNew) this.count(bill);
  }

  /**
   * Computes the bill of an answer.
   *
   * @throws SycamoreheadError `incomplete_answer` where nothing says what was run.
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
    this.parts.metrics.billed.inc({customer, version: item}, amountMicros);
  }
}
