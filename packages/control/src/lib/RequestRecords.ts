import type {BeginResult, JsonValue, StoredAnswer} from '@sycamorehead/schema';
import type {ControlCommand} from './controlCommands.js';

type BeginCommand = Extract<ControlCommand, {type: 'begin_request'}>;
type FinishCommand = Extract<ControlCommand, {type: 'finish_request'}>;

interface RequestRecord {
  readonly requestKey: string;
  readonly bodyDigest: string;
  readonly owner: string;
  readonly fencing: number;
  readonly at: number;
  readonly state: 'begun' | 'done' | 'unknown';
  readonly answer?: StoredAnswer;
}

const MAX_RECORDS = 200_000;

/**
 * Records of calls that may not be repeated: intent, owner, fencing number and result.
 *
 * @internal
 */
export class RequestRecords {
  private records = new Map<string, RequestRecord>();

  /** Records the intent to run a call, unless the key is known already. */
  begin(command: BeginCommand, index: number): BeginResult {
    const {requestKey, bodyDigest, owner, at} = command;
    const before = this.records.get(requestKey);
    if (before) return describeExisting(before, bodyDigest);
    this.dropOldest();
    this.records.set(requestKey, {
      requestKey,
      bodyDigest,
      owner,
      at,
      fencing: index,
      state: 'begun',
    });
    return {state: 'begun', fencing: index};
  }

  /** Records the result; a fencing number that is not the record's changes nothing. */
  finish(command: FinishCommand): {changed: boolean} {
    const {requestKey, fencing, outcome, answer} = command;
    const before = this.records.get(requestKey);
    if (!before || before.fencing !== fencing || before.state === 'done') {
      return {changed: false};
    }
    if (outcome === 'not_run') {
      this.records.delete(requestKey);
      return {changed: true};
    }
    this.records.set(requestKey, {...before, state: outcome, answer});
    return {changed: true};
  }

  toJson(): JsonValue {
    return [...this.records.values()] as unknown as JsonValue;
  }

  restore(json: JsonValue): void {
    const records = json as unknown as RequestRecord[];
    this.records = new Map(records.map(entry => [entry.requestKey, entry]));
  }

  private dropOldest(): void {
    for (const [key, {state}] of this.records) {
      if (this.records.size < MAX_RECORDS) return;
      if (state !== 'begun') this.records.delete(key);
    }
  }
}

function describeExisting(
  record: RequestRecord,
  bodyDigest: string,
): BeginResult {
  if (record.bodyDigest !== bodyDigest) return {state: 'key_reused'};
  if (record.state === 'unknown') return {state: 'outcome_unknown'};
  if (record.state === 'done' && record.answer) {
    return {state: 'done', answer: record.answer};
  }
  return {state: 'in_progress'};
}
