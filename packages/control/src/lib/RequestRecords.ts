import type {
  BeginRequestResult,
  FinishRequestResult,
  JsonValue,
  StoredResponse,
} from '@sycamorehead/schema';
import type {ControlCommand} from './controlCommands.js';

type BeginCommand = Extract<ControlCommand, {type: 'begin_request'}>;
type FinishCommand = Extract<ControlCommand, {type: 'finish_request'}>;

interface RequestRecord {
  readonly requestKey: string;
  readonly bodyDigest: string;
  readonly owner: string;
  readonly fencing: number;
  readonly at: number;
  /**
   * Time by which the owner must have finished, on the wall clock of the leader that proposed it.
   */
  readonly ownerUntil: number;
  readonly isRepeatable: boolean;
  readonly state: 'begun' | 'done' | 'unknown';
  readonly answer?: StoredResponse;
  /** Whether its bill was committed together with its result. */
  readonly isBilled?: boolean;
}

interface RecordSnapshot {
  readonly records: readonly RequestRecord[];
  /** In the order of removal, which must be the same on every voter. */
  readonly answers: ReadonlyArray<readonly [key: string, size: number]>;
}

/** Limits of the request records. @internal */
export interface RecordLimits {
  readonly maxRecords: number;
  /** Time for which a key is retained, in milliseconds. */
  readonly retentionMs: number;
  /** Maximum size of one stored answer, in base64 characters. */
  readonly maxAnswerSize: number;
  /** Maximum size of all stored answers together, in base64 characters. */
  readonly maxTotalSize: number;
}

/** Limits used in production. @internal */
export const DEFAULT_RECORD_LIMITS: RecordLimits = {
  maxRecords: 200_000,
  retentionMs: 24 * 60 * 60 * 1_000,
  maxAnswerSize: 256 * 1024,
  maxTotalSize: 64 * 1024 * 1024,
};

/**
 * Records of requests with an idempotency key: intent, owner, fencing number and result, in order
 * of their start. A full table rejects new keys and never removes a key younger than
 * `retentionMs`, so that no resend within that time runs a second time. Stored answers are removed
 * before their records, oldest first.
 *
 * @internal
 */
export class RequestRecords {
  private records = new Map<string, RequestRecord>();
  /** Sizes of the stored answers by request key, oldest first. */
  private answers = new Map<string, number>();
  private totalSize = 0;

  constructor(private readonly limits: RecordLimits = DEFAULT_RECORD_LIMITS) {}

  // Commands.

  /** Records the intent to run a request unless its key is already known. */
  begin(command: BeginCommand, index: number): BeginRequestResult {
    const {requestKey, bodyDigest, at} = command;
    this.dropExpired(at);
    const before = this.records.get(requestKey);
    if (!before) return this.add(command, index);
    if (before.bodyDigest !== bodyDigest) return {state: 'key_reused'};
    if (before.state === 'begun' && before.owner === command.owner) {
      return {state: 'begun', fencing: before.fencing};
    }
    if (before.state === 'done') {
      const {answer} = before;
      return answer ? {state: 'done', answer} : {state: 'answer_not_kept'};
    }
    const isOwnerLost = before.state === 'unknown' || at > before.ownerUntil;
    if (!isOwnerLost) return {state: 'in_progress'};
    if (before.isRepeatable) {
      this.records.delete(requestKey);
      return this.add(command, index);
    }
    this.records.set(requestKey, {...before, state: 'unknown'});
    return {state: 'outcome_unknown'};
  }

  /** Records the outcome; ignored if the fencing number differs from the record's. */
  finish(command: FinishCommand): FinishRequestResult {
    const {requestKey, fencing, outcome, answer, bill} = command;
    const before = this.records.get(requestKey);
    if (outcome === 'not_run' && !before) return {isAccepted: true};
    if (!before || before.fencing !== fencing) return {isAccepted: false};
    if (before.state === 'done') return {isAccepted: outcome === 'done'};
    if (outcome === 'not_run') {
      this.records.delete(requestKey);
      return {isAccepted: true};
    }
    const size = answer?.body.length ?? 0;
    const isStored = answer !== undefined && size <= this.limits.maxAnswerSize;
    this.records.set(requestKey, {
      ...before,
      state: outcome,
      isBilled: outcome === 'done' && bill !== undefined,
      ...(isStored && {answer}),
    });
    if (isStored) this.recordAnswer(requestKey, size);
    return {isAccepted: true};
  }

  restore(json: JsonValue): void {
    const {records, answers} = json as unknown as RecordSnapshot;
    this.records = new Map(records.map(entry => [entry.requestKey, entry]));
    this.answers = new Map(answers);
    this.totalSize = answers.reduce((sum, [, size]) => sum + size, 0);
  }

  // Queries.

  toJson(): JsonValue {
    const snapshot: RecordSnapshot = {
      records: [...this.records.values()],
      answers: [...this.answers],
    };
    return snapshot as unknown as JsonValue;
  }

  /** Lists the requests that are done, and whether each was committed with a bill. */
  listDone(): Array<{readonly requestKey: string; readonly isBilled: boolean}> {
    return [...this.records.values()]
      .filter(({state}) => state === 'done')
      .map(({requestKey, isBilled}) => ({
        requestKey,
        isBilled: isBilled === true,
      }));
  }

  /** Lists the keys of the requests whose outcome is unknown. */
  listUnknown(): string[] {
    return [...this.records.values()]
      .filter(({state}) => state === 'unknown')
      .map(({requestKey}) => requestKey);
  }

  private add(command: BeginCommand, index: number): BeginRequestResult {
    if (this.records.size >= this.limits.maxRecords) {
      return {state: 'records_full'};
    }
    const {requestKey, bodyDigest, owner, isRepeatable, ownerLimitMs, at} =
      command;
    this.records.set(requestKey, {
      requestKey,
      bodyDigest,
      owner,
      isRepeatable,
      at,
      ownerUntil: at + ownerLimitMs,
      fencing: index,
      state: 'begun',
    });
    return {state: 'begun', fencing: index};
  }

  private recordAnswer(requestKey: string, size: number): void {
    this.answers.set(requestKey, size);
    this.totalSize += size;
    for (const [oldest] of this.answers) {
      if (this.totalSize <= this.limits.maxTotalSize) return;
      this.removeAnswer(oldest);
      const record = this.records.get(oldest);
      if (record) this.records.set(oldest, {...record, answer: undefined});
    }
  }

  private removeAnswer(requestKey: string): void {
    this.totalSize -= this.answers.get(requestKey) ?? 0;
    this.answers.delete(requestKey);
  }

  private dropExpired(now: number): void {
    for (const [key, {at}] of this.records) {
      if (now - at <= this.limits.retentionMs) return;
      this.removeAnswer(key);
      this.records.delete(key);
    }
  }
}
