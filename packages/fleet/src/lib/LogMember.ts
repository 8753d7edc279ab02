import {setTimeout as sleep} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {rm} from 'node:fs/promises';
import {
  ConsensusTransport,
  FileDisk,
  Membership,
  RaftNode,
  RaftTiming,
  loadMemberId,
} from '@sycamorehead/consensus';
import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {CommandResult, FleetCommand, FleetState} from './FleetState.js';

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
  readonly folder: string;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  /** Called after the replicated state has changed. */
  readonly onChange: () => void;
  readonly onLeading: () => void;
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
    while (!this.isStopped) {
      try {
        await this.openNode();
        return;
      } catch (error) {
        writeDecision('storage_failed', {error: String(error)});
        if (!isDiskError(error)) {
          // Acknowledged entries are lost, so this member must not return under its old id.
          this.firstGroup = undefined;
          await this.clearFolder();
        }
        await sleep(REOPEN_PAUSE_MS);
      }
    }
  }

  /** Deletes all data and waits to be added under a new identity. */
  async reset(): Promise<void> {
    writeDecision('member_reset', {id: this.node?.getIdentity().id});
    this.node?.abort();
    this.node = undefined;
    this.firstGroup = undefined;
    await this.clearFolder();
    await this.start();
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

  private async openNode(): Promise<void> {
    const {instance, folder, transport, timing} = this.options;
    const disk = new FileDisk(folder);
    const isFirst = this.firstGroup?.members.some(
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
      onFailure: error => this.handleFailure(node, error),
    });
    node.addLeaderListener(this.options.onLeading);
    await node.start();
    const {firstGroup} = this;
    if (firstGroup?.members.some(member => member.id === id)) {
      await node.createGroup(firstGroup.group, firstGroup.members);
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

  private handleFailure(node: RaftNode, error: SycamoreheadError): void {
    if (this.isStopped || (this.node && this.node !== node)) return;
    writeDecision('storage_failed', {error: error.message});
    this.node = undefined;
    setTimeout(() => {
      this.start(this.firstGroup).catch((failure: unknown) =>
        log('log_reopen_failed', {error: String(failure)}),
      );
    }, REOPEN_PAUSE_MS);
  }

  private async clearFolder(): Promise<void> {
    try {
      await rm(this.options.folder, {recursive: true, force: true});
    } catch (error) {
      log('log_folder_clear_failed', {error: String(error)});
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
