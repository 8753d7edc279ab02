import {Agent, Dispatcher, request} from 'undici';
import {
  Bill,
  ReleaseNote,
  SycamoreheadError,
  readErrorBody,
} from '@sycamorehead/schema';
import {readBounded} from '@sycamorehead/wire';
import type {LogStatus, Membership} from '@sycamorehead/consensus';
import type {InForceReport} from './configuration/ConfigurationService.js';
import type {LedgerReport} from './Ledger.js';
import type {PublishResult} from './controlCommands.js';
import type {RolloutStatus} from './reconciler/describeRollout.js';

const CALL_TIMEOUT_MS = 10_000;
/** Maximum size of an answer, in bytes. */
const MAX_ANSWER_BYTES = 256 * 1024 * 1024;
/** Time for which a call is retried while there is no leader, in milliseconds. */
const RETRY_TIMEOUT_MS = 5_000;
/** Pause between two rounds of retries, in milliseconds. */
const RETRY_PAUSE_MS = 100;
/**
 * Timeout of membership changes, in milliseconds; it is longer than that of other calls, since a
 * new instance first receives the whole state.
 */
const MEMBERSHIP_TIMEOUT_MS = 90_000;

/** Settings of an OperatorClient. @public */
export interface OperatorClientOptions {
  /** Base URLs of the control instances. */
  readonly urls: readonly string[];
  readonly operatorToken: string;
  /** Certificate authority of the control instances, if it is a private one. */
  readonly ca?: Buffer;
  /** Time allowed for a call to one instance that does not change the membership, in milliseconds. */
  readonly callTimeoutMs?: number;
  /** Maximum size of an answer, in bytes. */
  readonly maxAnswerBytes?: number;
}

/**
 * Operators' client, which tries the control instances in turn until one answers. All calls are
 * idempotent, so a call whose answer was lost is resent to the next instance.
 *
 * @public
 */
export class OperatorClient {
  private readonly dispatcher: Dispatcher | undefined;

  constructor(private readonly options: OperatorClientOptions) {
    const {ca} = options;
    this.dispatcher = ca && new Agent({connect: {ca}});
  }

  /** Publishes a release note; publishing the same note again changes nothing. */
  publish(note: ReleaseNote): Promise<PublishResult> {
    return this.call('publish', {note});
  }

  /** Reads the configuration and the revision in force. */
  readInForce(): Promise<InForceReport> {
    return this.call('inForce', {});
  }

  /** Reads the ledger's totals and checks the bills against the request records. */
  readLedger(): Promise<LedgerReport> {
    return this.call('ledger', {});
  }

  /** Lists the bills. */
  listBills(customer?: string): Promise<Bill[]> {
    return this.call('bills', customer ? {customer} : {});
  }

  /** Lists the members of the control group. */
  listMembers(): Promise<Membership> {
    return this.call('members', {});
  }

  /** Adds a control instance and returns once it is a voter; safe to repeat. */
  addMember(instance: string, address: string): Promise<Membership> {
    return this.call('addMember', {instance, address}, MEMBERSHIP_TIMEOUT_MS);
  }

  /** Removes a control instance, given by its name or its member id. */
  removeMember(name: string): Promise<Membership> {
    return this.call('removeMember', {name}, MEMBERSHIP_TIMEOUT_MS);
  }

  /** Reads one control instance's view of its log. */
  readStatus(): Promise<LogStatus> {
    return this.call('status', {});
  }

  /** Lists the state of each version's roll-out and what it waits for. */
  listRollouts(): Promise<RolloutStatus[]> {
    return this.call('rollouts', {});
  }

  private async call<Result>(
    method: string,
    params: unknown,
    timeoutMs = this.options.callTimeoutMs ?? CALL_TIMEOUT_MS,
  ): Promise<Result> {
    let lastError: unknown = new SycamoreheadError(
      'control_unavailable',
      'no control instance was given',
    );
    const deadline = performance.now() + RETRY_TIMEOUT_MS;
    do {
      for (const url of this.options.urls) {
        try {
          return await this.callInstance<Result>(
            url,
            method,
            params,
            timeoutMs,
          );
        } catch (error) {
          if (isFinal(error)) throw error;
          lastError = error;
        }
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
    } while (performance.now() < deadline);
    const reason =
      lastError instanceof Error ? lastError.message : String(lastError);
    throw new SycamoreheadError('control_unavailable', reason, {
      cause: lastError,
    });
  }

  private async callInstance<Result>(
    url: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result> {
    const {body} = await request(new URL('/rpc', url), {
      method: 'POST',
      dispatcher: this.dispatcher,
      signal: AbortSignal.timeout(timeoutMs),
      headers: {
        authorization: `Bearer ${this.options.operatorToken}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({jsonrpc: '2.0', id: 1, method, params}),
    });
    const bytes = await readBounded(
      body,
      this.options.maxAnswerBytes ?? MAX_ANSWER_BYTES,
      () => new Error('the answer of the control instance is too long'),
    );
    const answer = JSON.parse(bytes.toString('utf8')) as {
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
