import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import type {LinkPool, LogStatus} from '@sycamorehead/consensus';
import type {MethodTable} from '@sycamorehead/wire';

const FORWARD_METHOD = 'control.forward';
const FORWARD_TIMEOUT_MS = 5_000;

/** An operation that only the leader performs. @public */
export type LeaderOperation = (params: never) => Promise<unknown>;

/** Settings of a LeaderForwarder. @public */
export interface LeaderForwarderOptions {
  readonly links: LinkPool;
  readonly getStatus: () => LogStatus;
}

/**
 * Forwards calls from a follower to the leader, at most once each, so that callers may contact any
 * control instance.
 *
 * @public
 */
export class LeaderForwarder {
  private readonly operations = new Map<string, LeaderOperation>();

  constructor(private readonly options: LeaderForwarderOptions) {}

  /** Adds an operation that other instances may forward to this one. */
  add(name: string, operation: LeaderOperation): void {
    this.operations.set(name, operation);
  }

  /** Runs an operation locally, or on the leader if this instance does not lead. */
  async run(name: string, params: unknown): Promise<unknown> {
    try {
      return await this.runLocally(name, params);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      const address = this.findLeaderAddress();
      if (error.kind !== 'not_leader' || !address) throw error;
      return this.forward(address, name, params);
    }
  }

  /** Returns the methods that the other control instances call. */
  getMethods(): MethodTable {
    return {
      [FORWARD_METHOD]: ({name, params}: {name: string; params: unknown}) =>
        this.runLocally(name, params),
    };
  }

  private async runLocally(name: string, params: unknown): Promise<unknown> {
    const operation = this.operations.get(name);
    if (operation) return operation(params as never);
    throw new SycamoreheadError('not_found', `${name}: no such operation`);
  }

  private async forward(
    address: string,
    name: string,
    params: unknown,
  ): Promise<unknown> {
    const {links} = this.options;
    try {
      const call = {name, params};
      return await links.request(
        address,
        FORWARD_METHOD,
        call,
        FORWARD_TIMEOUT_MS,
      );
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      if (error.kind !== 'link_closed' && error.kind !== 'timeout') throw error;
      throw new SycamoreheadError(
        'control_unavailable',
        `the leader does not answer: ${error.message}`,
        {cause: error},
      );
    }
  }

  private findLeaderAddress(): string | undefined {
    const {leader, role, members} = this.options.getStatus();
    if (role === 'leader' || !leader) return undefined;
    return members?.find(({instance}) => instance === leader)?.address;
  }
}
