import {createHash} from 'node:crypto';
import {
  ConfiguredVersion,
  JsonValue,
  SessionPin,
  VersionRef,
  formatVersionKey,
  isPermitted,
  isServing,
} from '@sycamorehead/schema';
import type {Configuration} from '@sycamorehead/schema';
import type {ControlCommand} from './controlCommands.js';

type PinCommand = Extract<ControlCommand, {type: 'pin_session'}>;

interface PinnedSession {
  readonly session: string;
  readonly customer: string;
  readonly version: VersionRef;
  readonly at: number;
}

/** Bounds of the sessions that are remembered. @internal */
export interface SessionLimits {
  /** Idle time after which a session is forgotten, in milliseconds. */
  readonly idleMs: number;
  /** Sessions kept in each partition. */
  readonly maxPerPartition: number;
}

/** Bounds used in production. @internal */
export const DEFAULT_SESSION_LIMITS: SessionLimits = {
  idleMs: 24 * 60 * 60 * 1_000,
  maxPerPartition: 12_500,
};

const PARTITIONS = 16;

/**
 * Sessions and their versions, partitioned by a hash of customer and session. The first write
 * wins; a version that no longer serves, or that the customer may no longer use, ends the pin.
 * Each partition is in order of last use, so that the longest idle are dropped first.
 *
 * @internal
 */
export class SessionPins {
  private partitions = createPartitions();

  constructor(private readonly limits = DEFAULT_SESSION_LIMITS) {}

  /** Pins a session, or returns the version that it is pinned to. */
  pin(command: PinCommand, configuration: Configuration): SessionPin {
    const {session, customer, version, at} = command;
    const key = `${customer}\n${session}`;
    const partition = this.partitions[computePartition(key)]!;
    this.dropIdle(partition, at);
    const before = partition.get(key);
    const isKept =
      before !== undefined && isUsable(before.version, customer, configuration);
    const kept = isKept ? before.version : version;
    partition.delete(key);
    this.dropLongestIdle(partition);
    partition.set(key, {session, customer, version: kept, at});
    const isChanged = before !== undefined && !isKept;
    return {
      ...kept,
      isNew: !isKept,
      ...(isChanged && {endedPin: before.version}),
    };
  }

  toJson(): JsonValue {
    return this.partitions.map(partition => [
      ...partition.values(),
    ]) as unknown as JsonValue;
  }

  restore(json: JsonValue): void {
    const stored = json as unknown as PinnedSession[][];
    this.partitions = stored.map(
      sessions =>
        new Map(
          sessions.map(entry => [`${entry.customer}\n${entry.session}`, entry]),
        ),
    );
  }

  /** Counts the sessions that are remembered. */
  count(): number {
    return this.partitions.reduce((sum, {size}) => sum + size, 0);
  }

  private dropIdle(partition: Map<string, PinnedSession>, now: number): void {
    for (const [key, {at}] of partition) {
      if (now - at <= this.limits.idleMs) return;
      partition.delete(key);
    }
  }

  private dropLongestIdle(partition: Map<string, PinnedSession>): void {
    for (const key of partition.keys()) {
      if (partition.size < this.limits.maxPerPartition) return;
      partition.delete(key);
    }
  }
}

function createPartitions(): Array<Map<string, PinnedSession>> {
  return Array.from({length: PARTITIONS}, () => new Map());
}

function computePartition(key: string): number {
  return createHash('sha256').update(key).digest()[0]! % PARTITIONS;
}

function isUsable(
  ref: VersionRef,
  customer: string,
  configuration: Configuration,
): boolean {
  const version: ConfiguredVersion | undefined =
    configuration.versions[formatVersionKey(ref)];
  const declared = configuration.customers[customer];
  if (!version || !declared) return false;
  return isServing(version) && isPermitted(declared, ref);
}
