import {randomUUID} from 'node:crypto';
import {
  ConsensusTransport,
  Disk,
  Membership,
  RaftNode,
  RaftTiming,
  loadMemberId,
} from '@sycamorehead/consensus';
import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {CommandResult, FleetCommand, FleetState} from './FleetState.js';
import {pause} from './pause.js';

const log = createLogger('fleet');

/** Pause before reopening storage that has failed, in milliseconds. */
const REOPEN_PAUSE_MS = 500;
/** Suffix of the member ids of the first group; later members have a random suffix. */
const FIRST_MEMBER_SUFFIX = 'first';
/**
 * Bytes of log after which a snapshot is taken, unless the state is larger. Most of the log consists of
 * configurations, each of which replaces the one before, so that a snapshot is soon shorter than the log.
 */
const SNAPSHOT_BYTES = 512 * 1024;
/** The fleet's log has one shard. */
const SHARD = 0;

/** Settings of a LogMember. @public */
export interface LogMemberOptions {
  readonly instance: string;
  /** Creates the access to this member's disk, each time that the log is opened. */
  createDisk(): Disk;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  /** Called after the replicated state has changed. */
  readonly onChange: () => void;
  readonly onLeading: () => void;
}

/** Settings on which the first group of a fleet depends. @public */
export interface FirstGroupOptions {
  readonly isFirstStart: boolean;
  /** Peer addresses of the first members. */
  readonly seeds: readonly string[];
  readonly peerPort: number;
}

/**
 * Runs one member of the replicated log. Reopens it after its storage has failed, and restarts it
 * under a new identity after the group has removed it.
 *
 * @public
 */
export class LogMember {
  private node: RaftNode | undefined;
  private machine: FleetState;
  private isStopped = false;
  private firstGroup: {group: string; members: Membership} | undefined;

  constructor(private readonly options: LogMemberOptions) {
    this.machine = new FleetState(options.onChange);
  }

  // Commands.

  /**
   * Opens the log. If the disk is empty and the first group includes this instance, its member
   * starts in that group.
   */
  async start(firstGroup?: {
    group: string;
    members: Membership;
  }): Promise<void> {
    this.firstGroup = firstGroup;
    await this.open();
  }

  /** Deletes all data and waits to be added under a new identity. */
  async reset(): Promise<void> {
    const {node} = this;
    // While the log is being opened, there is no member that could have been removed.
    if (!node) return;
    writeDecision('member_reset', {id: node.getIdentity().id});
    this.node = undefined;
    await node.close();
    await this.clearDisk();
    await this.open();
  }

  /** Proposes a command and returns whether it has changed the state. */
  async propose(command: FleetCommand): Promise<boolean> {
    const result = await this.requireNode().propose(
      command as unknown as JsonValue,
    );
    return (result as unknown as CommandResult).isChanged;
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.node?.stop();
  }

  // Queries.

  /** The member, or undefined until its disk has been read. */
  get raftNode(): RaftNode | undefined {
    return this.node;
  }

  /** The state that this member has applied. */
  get state(): FleetState {
    return this.machine;
  }

  get isLeader(): boolean {
    return this.node?.getStatus().role === 'leader';
  }

  /** Name of the leader's instance, if it is known. */
  get leader(): string | undefined {
    return this.node?.getStatus().leader;
  }

  /**
   * Returns the member, or throws if it is not open.
   *
   * @throws SycamoreheadError `control_unavailable` while the disk is being read.
   */
  requireNode(): RaftNode {
    if (this.node) return this.node;
    throw new SycamoreheadError('control_unavailable', 'the log is not open', {
      ran: 'no',
    });
  }

  /** Opens the log, however often that takes. One task at a time does, since the disk has one writer. */
  private async open(isReopened = false): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.openNode(isReopened);
        return;
      } catch (error) {
        const isRetried = isDiskError(error);
        writeDecision('storage_failed', {
          error: String(error),
          then: isRetried ? 'open_again' : 'erase',
        });
        // Acknowledged entries are lost, so this member must not return under its old id.
        if (!isRetried) await this.clearDisk();
        isReopened = true;
        await pause(REOPEN_PAUSE_MS);
      }
    }
  }

  private async openNode(isReopened: boolean): Promise<void> {
    const {instance, createDisk, transport, timing} = this.options;
    const disk = createDisk();
    const {firstGroup} = this;
    const isFirst = firstGroup?.members.some(
      member => member.instance === instance,
    );
    const id = await loadMemberId(
      disk,
      instance,
      isFirst ? FIRST_MEMBER_SUFFIX : randomUUID(),
    );
    this.machine = new FleetState(this.options.onChange);
    const node: RaftNode = new RaftNode({
      shard: SHARD,
      id,
      machine: this.machine,
      disk,
      transport,
      timing,
      snapshotBytes: SNAPSHOT_BYTES,
      isReopened,
      onFailure: error => {
        failure = error;
        if (this.node === node) this.handleFailure(node, error);
      },
    });
    let failure: SycamoreheadError | undefined;
    node.addLeaderListener(this.options.onLeading);
    try {
      await node.start();
      if (firstGroup?.members.some(member => member.id === id)) {
        await node.createGroup(firstGroup.group, firstGroup.members);
      }
      // An election may have failed to save its vote meanwhile.
      if (failure) throw failure;
    } catch (error) {
      await node.close();
      throw error;
    }
    this.node = node;
    const {group} = node.getIdentity();
    writeDecision('log_opened', {
      id,
      group,
      last: node.getStatus().lastIndex,
      version: this.machine.configuration.version,
    });
  }

  /** Opens the log again from what the disk holds, once the failed member writes no more. */
  private handleFailure(node: RaftNode, error: SycamoreheadError): void {
    if (this.isStopped) return;
    writeDecision('storage_failed', {
      error: error.message,
      then: 'open_again',
    });
    this.node = undefined;
    this.openAgain(node).catch((failure: unknown) =>
      log('log_reopen_failed', {error: String(failure)}),
    );
  }

  private async openAgain(node: RaftNode): Promise<void> {
    await pause(REOPEN_PAUSE_MS);
    await node.close();
    await this.open(true);
  }

  private async clearDisk(): Promise<void> {
    this.firstGroup = undefined;
    try {
      await this.options.createDisk().clear();
    } catch (error) {
      log('disk_clear_failed', {error: String(error)});
    }
  }
}

/**
 * Builds the member of the first group for an instance.
 *
 * @example
 * ```ts
 * buildFirstMember('10.1.0.4', '10.1.0.4:7340').id; // '10.1.0.4/first'
 * ```
 * @public
 */
export function buildFirstMember(instance: string, address: string) {
  const id = `${instance}/${FIRST_MEMBER_SUFFIX}`;
  return {id, instance, address, role: 'voter' as const};
}

/**
 * Builds the first group of a fleet, whose members are the seeds; undefined for an instance at another
 * address or that starts again.
 *
 * @example
 * ```ts
 * buildFirstGroup({isFirstStart: false, seeds: [], peerPort: 7340}, '10.1.0.4:7340'); // undefined
 * ```
 * @public
 */
export function buildFirstGroup(
  {isFirstStart, seeds, peerPort}: FirstGroupOptions,
  address: string,
): {group: string; members: Membership} | undefined {
  if (!isFirstStart || !seeds.includes(address)) return undefined;
  const addresses = [...seeds].sort();
  const members = addresses.map(seed =>
    buildFirstMember(seed.slice(0, -`:${peerPort}`.length), seed),
  );
  return {group: `first-${addresses.join('-')}`, members};
}

/** Returns whether an error comes from the operating system; any other error means damaged files. */
function isDiskError(error: unknown): boolean {
  let current = error;
  while (current instanceof Error) {
    if (typeof (current as NodeJS.ErrnoException).code === 'string') {
      return true;
    }
    current = current.cause;
  }
  return false;
}
