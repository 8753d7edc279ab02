import {ControlApi, SycamoreheadError} from '@sycamorehead/schema';

/** Point of a call to control at which the entry is lost. */
export interface LossPoint {
  readonly method: keyof ControlApi;
  /** `before`: control never receives the call. `after`: the entry never receives the result. */
  readonly when: 'before' | 'after';
}

/** Faults between one entry and control, which a test switches while it runs. */
export class ControlFaults {
  /** Simulates the loss of the entry: its calls to control never complete. */
  isLost = false;
  /**
   * Simulates a lost quorum: calls fail before control receives them (`unseen`) or after it applied
   * them (`result_lost`).
   */
  outage: 'none' | 'unseen' | 'result_lost' = 'none';
  /** The entry is lost when it reaches this point. */
  lossPoint: LossPoint | undefined;
  private readonly pendingCalls: Array<(error: Error) => void> = [];

  /** Makes a call to control, subject to the faults. */
  async run(method: string, apply: () => Promise<unknown>): Promise<unknown> {
    if (this.isLossPoint(method, 'before')) this.isLost = true;
    if (this.isLost) return this.waitForever();
    if (this.outage === 'unseen') throw createOutageError(method);
    const result = await apply();
    if (this.isLossPoint(method, 'after')) this.isLost = true;
    if (this.isLost) return this.waitForever();
    // Renewals always deliver their result: a lease whose grant is lost would correctly delay every
    // newer revision until it expires.
    const isResultDelivered =
      this.outage !== 'result_lost' || method === 'renewLease';
    if (!isResultDelivered) throw createOutageError(method);
    return result;
  }

  /** Ends all faults and fails the pending calls, so that a lost entry can be stopped. */
  clear(): void {
    this.isLost = false;
    this.lossPoint = undefined;
    this.outage = 'none';
    for (const reject of this.pendingCalls.splice(0)) {
      reject(new SycamoreheadError('internal', 'the entry was lost'));
    }
  }

  private isLossPoint(method: string, when: LossPoint['when']): boolean {
    return this.lossPoint?.method === method && this.lossPoint.when === when;
  }

  private waitForever(): Promise<never> {
    return new Promise((unused, reject) => this.pendingCalls.push(reject));
  }
}

function createOutageError(method: string): SycamoreheadError {
  return new SycamoreheadError('control_unavailable', `${method}: no quorum`);
}

/** Wraps an entry's control API with injectable faults. */
export function wrapControl(
  control: ControlApi,
  faults: ControlFaults,
): ControlApi {
  return new Proxy(control, {
    get(target, name) {
      const method: unknown = Reflect.get(target, name);
      if (typeof method !== 'function') return method;
      return (...args: unknown[]) =>
        faults.run(String(name), () => Reflect.apply(method, target, args));
    },
  });
}
