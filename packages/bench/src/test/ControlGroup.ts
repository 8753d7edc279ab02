import type {
  LogStatus,
  RaftNode,
  ReplicatedLog,
  StateMachine,
} from '@sycamorehead/consensus';
import {FakeGroup, PausedClock} from '@sycamorehead/consensus/testing';
import {ControlNode} from '@sycamorehead/control';
import {ConfigurationManager} from '@sycamorehead/entry';
import {
  ControlApi,
  JsonValue,
  LeaseGrant,
  LeaseRequest,
  SycamoreheadError,
} from '@sycamorehead/schema';

const CALL_TIMEOUT_MS = 1_000;
const WATCH_TIMEOUT_MARGIN_MS = 1_000;
/** Simulates entries with slow clocks: their leases last 1% longer than granted. */
const SLOW_CLOCK_FACTOR = 1.01;

/** A log that forwards to a RaftNode, which is created after the control node that uses the log. */
class DeferredLog implements ReplicatedLog {
  node: RaftNode | undefined;
  private readonly listeners: Array<() => void> = [];

  setNode(node: RaftNode): void {
    this.node = node;
    for (const listener of this.listeners) node.addLeaderListener(listener);
  }

  propose(command: JsonValue): Promise<JsonValue> {
    return this.node!.propose(command);
  }

  confirmLeadership(): Promise<void> {
    return this.node!.confirmLeadership();
  }

  getStatus(): LogStatus {
    return this.node!.getStatus();
  }

  addLeaderListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  async stop(): Promise<void> {
    this.node!.abort();
  }
}

/** One entry of a ControlGroup. @internal */
export interface FakeEntry {
  readonly name: string;
  manager: ConfigurationManager;
}

/**
 * Runs control instances and entries in one process, on the fake network and disks of the log.
 *
 * @internal
 */
export class ControlGroup {
  readonly group: FakeGroup<StateMachine>;
  readonly entries: FakeEntry[] = [];
  private readonly controls = new Map<string, ControlNode>();
  private readonly logs = new Map<string, DeferredLog>();

  constructor(
    private readonly clock: PausedClock,
    random: () => number,
    readonly names: readonly string[] = ['c1', 'c2', 'c3'],
    node: {snapshotBytes?: number; trailingEntries?: number} = {},
  ) {
    this.group = new FakeGroup({
      clock,
      random,
      createMachine: name => this.createMachine(name),
      onCreated: (name, raft) => this.logs.get(name)?.setNode(raft),
      node,
    });
  }

  /** Starts the control instances and the given number of entries. */
  async start(entryCount: number): Promise<void> {
    await this.group.createGroup(this.names);
    for (let index = 1; index <= entryCount; index++) {
      const name = `e${index}`;
      this.entries.push({name, manager: this.startManager(name)});
    }
  }

  /** Returns a control instance, or undefined if it is down. */
  getControl(name: string): ControlNode | undefined {
    return this.group.get(name).node && this.controls.get(name);
  }

  /** Waits for a leader and returns its control instance. */
  async findLeader(): Promise<ControlNode> {
    const {name} = await this.group.waitForLeader();
    return this.controls.get(name)!;
  }

  /** Replaces an entry by a new one of the same name, as a restart of its process does. */
  restartEntry(entry: FakeEntry): void {
    entry.manager.stop();
    entry.manager = this.startManager(entry.name);
  }

  /** Returns the revision that an entry routes on, or undefined if it has no valid lease. */
  readRoutingRevision(entry: FakeEntry): number | undefined {
    try {
      return entry.manager.get().revision;
    } catch {
      return undefined;
    }
  }

  /** Stops everything. */
  stop(): void {
    for (const {manager} of this.entries) manager.stop();
    this.group.stop();
  }

  /** Advances the paused clock. */
  advance(ms: number): Promise<void> {
    return this.clock.advance(ms);
  }

  private createMachine(name: string): StateMachine {
    const log = new DeferredLog();
    let machine: StateMachine | undefined;
    const control = new ControlNode({
      name,
      createLog: stateMachine => {
        machine = stateMachine;
        return log;
      },
    });
    this.controls.set(name, control);
    this.logs.set(name, log);
    return machine!;
  }

  private startManager(name: string): ConfigurationManager {
    const manager = new ConfigurationManager(name, this.createApi(name));
    manager.start();
    return manager;
  }

  /**
   * Calls the same control instance until a call fails, then the leader that the error names or
   * else the next instance.
   */
  private createApi(entry: string): ControlApi {
    let nextIndex = 0;
    const call = async <Result>(
      timeoutMs: number,
      serve: (control: ControlNode) => Promise<Result>,
    ): Promise<Result> => {
      const name = this.names[nextIndex % this.names.length]!;
      try {
        return await this.group.network.call(entry, name, timeoutMs, async () =>
          serve(this.requireControl(name)),
        );
      } catch (error) {
        const leader =
          error instanceof SycamoreheadError ? error.leader : undefined;
        nextIndex = leader ? this.names.indexOf(leader) : nextIndex + 1;
        throw error;
      }
    };
    return {
      renewLease: async (request: LeaseRequest): Promise<LeaseGrant> => {
        const grant = await call(CALL_TIMEOUT_MS, control =>
          control.renewLease(request),
        );
        return {...grant, leaseMs: grant.leaseMs * SLOW_CLOCK_FACTOR};
      },
      watchRevision: params =>
        call(params.waitMs + WATCH_TIMEOUT_MARGIN_MS, control =>
          control.watchRevision(params),
        ),
    } as Partial<ControlApi> as ControlApi;
  }

  private requireControl(name: string): ControlNode {
    const control = this.getControl(name);
    if (control) return control;
    throw new SycamoreheadError('link_closed', `${name} is down`);
  }
}
