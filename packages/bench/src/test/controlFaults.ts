import {ControlApi, SycamoreheadError} from '@sycamorehead/schema';

/** A step of a command at which its entry is lost. */
export interface LossPoint {
  readonly method: keyof ControlApi;
  /** `before`: control never sees the command. `after`: the entry never sees the result. */
  readonly when: 'before' | 'after';
}

/** Faults of one entry's way to control, to be switched while a test runs. */
export class ControlFaults {
  /** The entry is lost: nothing it sends arrives, and nothing arrives at it. */
  isLost = false;
  /** The quorum is lost: commands fail, either unseen or applied with the result lost. */
  outage: 'none' | 'unseen' | 'result_lost' = 'none';
  /** The entry is lost when it reaches this step. */
  lossPoint: LossPoint | undefined;
  private readonly pendingCalls: Array<(error: Error) => void> = [];

  /** Runs a command through the faults. */
  async run(method: string, apply: () => Promise<unknown>): Promise<unknown> {
    if (this.isLossPoint(method, 'before')) this.isLost = true;
    if (this.isLost) return this.waitForever();
    if (this.outage === 'unseen') throw createOutageError(method);
    const result = await apply();
    if (this.isLossPoint(method, 'after')) this.isLost = true;
    if (this.isLost) return this.waitForever();
    // A lease granted unheard would rightly keep every newer revision from being in force.
    const isResultDelivered =
      this.outage !== 'result_lost' || method === 'renewLease';
    if (!isResultDelivered) throw createOutageError(method);
    return result;
  }

  /** Fails what hangs, so that a lost entry can be taken down at the end of a test. */
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

/** Puts faults between an entry and control. */
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
