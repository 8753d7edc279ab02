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
  /** Time by which the owner must have finished, on the leader's wall clock. */
  readonly ownerUntil: number;
  readonly isRepeatable: boolean;
  readonly state: 'begun' | 'done' | 'unknown';
  readonly answer?: StoredResponse;
  /** Whether its bill was committed with its result. */
  readonly isBilled?: boolean;
}

interface RecordSnapshot {
  readonly records: readonly RequestRecord[];
  /** In the order of dropping, which every voter must share. */
  readonly answers: ReadonlyArray<readonly [key: string, size: number]>;
}

/** Bounds of the table of records. @internal */
export interface RecordLimits {
  readonly maxRecords: number;
  /** Time for which a key is remembered, in milliseconds. */
  readonly retentionMs: number;
  /** Size of one answer that is stored, in characters of its base64. */
  readonly maxAnswerSize: number;
  /** Size of all stored answers together. */
  readonly maxTotalSize: number;
}

/** Bounds used in production. @internal */
export const DEFAULT_RECORD_LIMITS: RecordLimits = {
  maxRecords: 200_000,
  retentionMs: 24 * 60 * 60 * 1_000,
  maxAnswerSize: 256 * 1024,
  maxTotalSize: 64 * 1024 * 1024,
};

/**
 * Records of requests that carry an idempotency key: intent, owner, fencing number and result, in
 * order of their beginning. A full table refuses new keys; it never drops one that is younger
 * than `keepMs`, so that no resend within that time runs a second time. Stored answers are
 * dropped before their records, oldest first.
 *
 * @internal
 */
export class RequestRecords {
  private records = new Map<string, RequestRecord>();
  /** Keys of the records that hold an answer, oldest first, with its size. */
  private answers = new Map<string, number>();
  private totalSize = 0;

  constructor(private readonly limits: RecordLimits = DEFAULT_RECORD_LIMITS) {}

  // Commands.

  /** Records the intent to run a request, unless the key is known already. */
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
    const isLost = before.state === 'unknown' || at > before.ownerUntil;
    if (!isLost) return {state: 'in_progress'};
    if (before.isRepeatable) {
      this.records.delete(requestKey);
      return this.add(command, index);
    }
    this.records.set(requestKey, {...before, state: 'unknown'});
    return {state: 'outcome_unknown'};
  }

  /** Records the outcome; a fencing number that is not the record's changes nothing. */
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
    const isKept = answer !== undefined && size <= this.limits.maxAnswerSize;
    this.records.set(requestKey, {
      ...before,
      state: outcome,
      isBilled: outcome === 'done' && bill !== undefined,
      ...(isKept && {answer}),
    });
    if (isKept) this.countAnswer(requestKey, size);
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

  /** Lists the keys of the requests that are done, with whether a bill came with the result. */
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

  private countAnswer(requestKey: string, size: number): void {
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
