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

/** Pause before a failed storage is opened again, in milliseconds. */
const REOPEN_PAUSE_MS = 500;
/** Part of a member id that the members of the first group have in place of a random one. */
const FIRST_DISK = 'first';
/** The fleet's log has one shard. */
const SHARD = 0;

/** Settings of a LogHost. @public */
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
 * Keeps one member of the replicated log running: opens it again after its storage has failed,
 * and begins anew under another identity once the group has removed it.
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
   * Opens the log; an empty disk joins the first group where its members are given.
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
          // What was acknowledged here is lost: this member may not come back under its old id.
          this.firstGroup = undefined;
          await this.clearFolder();
        }
        await sleep(REOPEN_PAUSE_MS);
      }
    }
  }

  /** Forgets everything and waits to be added under a new identity. */
  async reset(): Promise<void> {
    writeDecision('member_reset', {id: this.node?.getIdentity().id});
    this.node?.abort();
    this.node = undefined;
    this.firstGroup = undefined;
    await this.clearFolder();
    await this.start();
  }

  /** Proposes a command and returns whether it has changed something. */
  async propose(command: FleetCommand): Promise<boolean> {
    const result = await this.requireNode().propose(
      command as unknown as JsonValue,
    );
    return (result as unknown as CommandResult).isChanged;
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.node?.stop();
  }

  // Queries.

  /** The member, once its disk is read. */
  get member(): RaftNode | undefined {
    return this.node;
  }

  /** The state as far as this member has applied it. */
  get state(): FleetState {
    return this.machine;
  }

  get isLeader(): boolean {
    return this.node?.getStatus().role === 'leader';
  }

  /** Name of the leader's instance, where one is known. */
  get leader(): string | undefined {
    return this.node?.getStatus().leader;
  }

  /**
   * Returns the member, or refuses.
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
      isFirst ? FIRST_DISK : randomUUID(),
    );
    this.machine = new FleetState(this.options.onChange);
    const node: RaftNode = new RaftNode({
      shard: SHARD,
      id,
      machine: this.machine,
      disk,
      transport,
      timing,
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
        log('reopen_failed', {error: String(failure)}),
      );
    }, REOPEN_PAUSE_MS);
  }

  private async clearFolder(): Promise<void> {
    try {
      await rm(this.options.folder, {recursive: true, force: true});
    } catch (error) {
      log('clear_failed', {error: String(error)});
    }
  }
}

/**
 * Names the member that an instance is in the first group.
 *
 * @example
 * ```ts
 * buildFirstMember('10.1.0.4', '10.1.0.4:7340').id; // '10.1.0.4/first'
 * ```
 * @public
 */
export function buildFirstMember(instance: string, address: string) {
  const id = `${instance}/${FIRST_DISK}`;
  return {id, instance, address, role: 'voter' as const};
}

/** A refusing or failing disk keeps its files; anything else is damage. */
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
