import {Agent, Dispatcher, request} from 'undici';
import {
  Bill,
  ReleaseNote,
  SycamoreheadError,
  readErrorBody,
} from '@sycamorehead/schema';
import type {LogStatus} from '@sycamorehead/consensus';
import type {InForceReport} from './ControlNode.js';
import type {PublishResult} from './controlCommands.js';
import type {RolloutStatus} from './reconciler/describeRollout.js';

const CALL_TIMEOUT_MS = 10_000;

/** Settings of an OperatorClient. @public */
export interface OperatorClientOptions {
  /** Base URLs of the control instances. */
  readonly urls: readonly string[];
  readonly operatorToken: string;
  /** Authority that signed the control instances' certificates, where it is a private one. */
  readonly ca?: Buffer;
}

/**
 * Operators' client: asks the control instances one after another until one answers as leader.
 *
 * @public
 */
export class OperatorClient {
  private readonly dispatcher: Dispatcher | undefined;

  constructor(private readonly options: OperatorClientOptions) {
    const {ca} = options;
    this.dispatcher = ca && new Agent({connect: {ca}});
  }

  /** Publishes a release note; resending the same one is safe. */
  publish(note: ReleaseNote): Promise<PublishResult> {
    return this.call('publish', {note});
  }

  /** Reads what is in force. */
  readInForce(): Promise<InForceReport> {
    return this.call('inForce', {});
  }

  /** Lists the bills. */
  listBills(customer?: string): Promise<Bill[]> {
    return this.call('bills', customer ? {customer} : {});
  }

  /** Reads one control instance's view of its log. */
  readStatus(): Promise<LogStatus> {
    return this.call('status', {});
  }

  /** Lists where each version's roll-out stands and what it waits for. */
  listRollouts(): Promise<RolloutStatus[]> {
    return this.call('rollouts', {});
  }

  private async call<Result>(method: string, params: unknown): Promise<Result> {
    let last: unknown = new SycamoreheadError(
      'control_unavailable',
      'no control instance was given',
    );
    for (const url of this.options.urls) {
      try {
        return await this.callOne<Result>(url, method, params);
      } catch (error) {
        if (isFinal(error)) throw error;
        last = error;
      }
    }
    const reason = last instanceof Error ? last.message : String(last);
    throw new SycamoreheadError('control_unavailable', reason, {cause: last});
  }

  private async callOne<Result>(
    url: string,
    method: string,
    params: unknown,
  ): Promise<Result> {
    const {body} = await request(new URL('/rpc', url), {
      method: 'POST',
      dispatcher: this.dispatcher,
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
      headers: {
        authorization: `Bearer ${this.options.operatorToken}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({jsonrpc: '2.0', id: 1, method, params}),
    });
    const answer = (await body.json()) as {
      result?: Result;
      error?: {data?: unknown; message?: string};
    };
    if (answer.error) throw readErrorBody(answer.error.data ?? answer.error);
    return answer.result as Result;
  }
}

function isFinal(error: unknown): boolean {
  return (
    error instanceof SycamoreheadError &&
    error.kind !== 'not_leader' &&
    error.kind !== 'control_unavailable'
  );
}
