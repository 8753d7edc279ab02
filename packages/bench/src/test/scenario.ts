import fc from 'fast-check';
import type {LossPoint} from './controlFaults.js';

/** A model request of a scenario. */
export interface ChatStep {
  readonly type: 'chat';
  readonly entry: number;
  readonly session?: number;
  readonly key?: number;
  readonly stream: boolean;
  readonly tokens: number;
  readonly disconnectAfterFrames?: number;
}

/** A call of a plain service that must not be repeated. */
export interface DepositStep {
  readonly type: 'deposit';
  readonly entry: number;
  readonly key: number;
  readonly amount: number;
}

/** A call of a plain service that may be repeated. */
export interface ReadStep {
  readonly type: 'read';
  readonly entry: number;
}

/** One request of a scenario. */
export type RequestStep = ChatStep | DepositStep | ReadStep;

/** One change to the environment, applied before a round's requests unless stated otherwise. */
export type ChangeStep =
  | {
      readonly type: 'engine_fault';
      readonly engine: number;
      readonly fault: 'reset' | 'truncate' | 'silent' | 'refuse' | 'none';
      readonly afterTokens: number;
    }
  | {
      readonly type: 'service_fault';
      readonly service: number;
      readonly resets: boolean;
    }
  | {
      readonly type: 'outage';
      readonly entry: number;
      readonly outage: 'none' | 'unseen' | 'result_lost';
    }
  | {
      readonly type: 'lose_entry';
      readonly entry: number;
      readonly lossPoint: LossPoint;
    }
  | {readonly type: 'withdraw'}
  | {readonly type: 'forbid'}
  | {readonly type: 'leave'; readonly engine: number}
  /** Applied while the round's requests run. */
  | {readonly type: 'stop_entry'; readonly entry: number};

/** Concurrent requests, sent after some changes. */
export interface Round {
  readonly changes: readonly ChangeStep[];
  readonly requests: readonly RequestStep[];
}

const ENTRY_COUNT = 3;
const ENGINE_COUNT = 2;
const REPLICA_COUNT = 2;

const entry = fc.nat({max: ENTRY_COUNT - 1});
const chat = fc.record(
  {
    type: fc.constant('chat' as const),
    entry,
    session: fc.nat({max: 1}),
    key: fc.nat({max: 1}),
    stream: fc.boolean(),
    tokens: fc.integer({min: 1, max: 10}),
    disconnectAfterFrames: fc.integer({min: 1, max: 5}),
  },
  {requiredKeys: ['type', 'entry', 'stream', 'tokens']},
);
const deposit = fc.record({
  type: fc.constant('deposit' as const),
  entry,
  key: fc.nat({max: 3}),
  amount: fc.integer({min: 1, max: 2}),
});
const read = fc.record({type: fc.constant('read' as const), entry});

const lossPoint = fc.record({
  method: fc.constantFrom(
    'beginRequest' as const,
    'finishRequest' as const,
    'recordBill' as const,
    'pinSession' as const,
  ),
  when: fc.constantFrom('before' as const, 'after' as const),
});

const change: fc.Arbitrary<ChangeStep> = fc.oneof(
  fc.record({
    type: fc.constant('engine_fault' as const),
    engine: fc.nat({max: ENGINE_COUNT - 1}),
    fault: fc.constantFrom(
      'reset' as const,
      'truncate' as const,
      'silent' as const,
      'refuse' as const,
      'none' as const,
    ),
    afterTokens: fc.integer({min: 0, max: 6}),
  }),
  fc.record({
    type: fc.constant('service_fault' as const),
    service: fc.nat({max: REPLICA_COUNT - 1}),
    resets: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('outage' as const),
    entry,
    outage: fc.constantFrom(
      'none' as const,
      'unseen' as const,
      'result_lost' as const,
    ),
  }),
  fc.record({type: fc.constant('lose_entry' as const), entry, lossPoint}),
  fc.record({type: fc.constant('stop_entry' as const), entry}),
  fc.record({
    type: fc.constant('leave' as const),
    engine: fc.nat({max: ENGINE_COUNT - 1}),
  }),
  fc.constant({type: 'withdraw' as const}),
  fc.constant({type: 'forbid' as const}),
);

/** Generates random sequences of requests and failures over several entries. */
export const scenarios: fc.Arbitrary<Round[]> = fc.array(
  fc.record({
    changes: fc.array(change, {maxLength: 2}),
    requests: fc.array(fc.oneof(chat, chat, deposit, read), {
      minLength: 1,
      maxLength: 6,
    }),
  }),
  {minLength: 1, maxLength: 4},
);
