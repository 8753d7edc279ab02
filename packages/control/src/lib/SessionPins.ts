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

/** Limits of the retained sessions. @internal */
export interface SessionLimits {
  /** Idle time after which a session is removed, in milliseconds. */
  readonly idleMs: number;
  /** Maximum number of sessions in each partition. */
  readonly maxPerPartition: number;
}

/** Limits used in production. @internal */
export const DEFAULT_SESSION_LIMITS: SessionLimits = {
  idleMs: 24 * 60 * 60 * 1_000,
  maxPerPartition: 12_500,
};

const PARTITIONS = 16;

/**
 * Sessions and their versions, partitioned by a hash of customer and session. The first write
 * wins. The pin ends if its version is no longer in service or no longer permitted to the customer.
 * Each partition is ordered by last use, so that the least recently used sessions are removed first.
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
    const isPinUsable =
      before !== undefined && isUsable(before.version, customer, configuration);
    const pinned = isPinUsable ? before.version : version;
    partition.delete(key);
    this.dropLeastRecentlyUsed(partition);
    partition.set(key, {session, customer, version: pinned, at});
    const isChanged = before !== undefined && !isPinUsable;
    return {
      ...pinned,
      isNew: !isPinUsable,
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

  /** Counts the retained sessions. */
  count(): number {
    return this.partitions.reduce((sum, {size}) => sum + size, 0);
  }

  private dropIdle(partition: Map<string, PinnedSession>, now: number): void {
    for (const [key, {at}] of partition) {
      if (now - at <= this.limits.idleMs) return;
      partition.delete(key);
    }
  }

  private dropLeastRecentlyUsed(partition: Map<string, PinnedSession>): void {
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
