import {SycamoreheadError} from '@sycamorehead/schema';
import {FairShareAdmission} from './FairShareAdmission.js';
import type {RoutingContext} from './RoutingContext.js';
import type {AdmissionPolicy} from './routingTypes.js';

const MAX_RUNNING = 256;
const MAX_QUEUED = 1_024;

/** First come, first served behind a fixed limit: the baseline. */
function createFirstComeFirstServed(): AdmissionPolicy {
  const queue: Array<() => void> = [];
  let running = 0;
  function release(): void {
    running -= 1;
    queue.shift()?.();
  }
  return {
    async admit() {
      if (queue.length >= MAX_QUEUED) {
        throw new SycamoreheadError('overloaded', 'the queue is full');
      }
      if (running >= MAX_RUNNING) {
        await new Promise<void>(resolve => queue.push(resolve));
      }
      running += 1;
      return {release};
    },
  };
}

/** Admission policies by name. @public */
export const ADMISSION_POLICIES = {
  first_come_first_served: createFirstComeFirstServed,
  fair_work: context => new FairShareAdmission(context),
} as const satisfies Record<
  string,
  (context: RoutingContext) => AdmissionPolicy
>;

/** Name of an admission policy. @public */
export type AdmissionPolicyName = keyof typeof ADMISSION_POLICIES;
