import path from 'node:path';
import {
  FileDisk,
  LinkPool,
  RaftNode,
  RaftTiming,
  SingleVoterLog,
  WireTransport,
  createConsensusMethods,
  createFirstGroup,
  loadMemberId,
} from '@sycamorehead/consensus';
import type {SycamoreheadError} from '@sycamorehead/schema';
import {TlsMaterial, createLogger} from '@sycamorehead/telemetry';
import {ClientLimits, WireServer} from '@sycamorehead/wire';
import {ControlNode, ControlNodeOptions} from './ControlNode.js';
import {createControlMethods} from './createControlMethods.js';
import {LeaderForwarder} from './LeaderForwarder.js';
import {OperatorServer} from './OperatorServer.js';

const log = createLogger('control');

/** Shard of the configuration, the sessions, the request records and the bills. */
const CONFIGURATION_SHARD = 0;

/** Settings of a ControlInstance. @public */
export interface ControlInstanceOptions {
  readonly name: string;
  readonly host: string;
  /** Operators' port; 0 selects any free port. */
  readonly port: number;
  /** Port for entries and other control instances; 0 selects any free port. */
  readonly peerPort: number;
  readonly peerKey: string;
  readonly operatorToken: string;
  /** Enables TLS on links with other instances. */
  readonly peerTls?: TlsMaterial;
  /** Enables TLS on the operators' port. */
  readonly operatorTls?: TlsMaterial;
  /** What operators' connections may cost; by default what the machine allows. */
  readonly clientLimits?: ClientLimits;
  /**
   * Folder of the replicated state; without it, the state is in memory and on this instance only.
   */
  readonly dataFolder?: string;
  readonly leaseMs?: number;
  readonly reconciler?: ControlNodeOptions['reconciler'];
  readonly timing?: RaftTiming;
  /** Called when the disk has failed; the process should then exit. */
  readonly onFailure: (error: SycamoreheadError) => void;
}

/** Ports that a started instance listens on. @public */
export interface ControlInstancePorts {
  readonly port: number;
  readonly peerPort: number;
}

/**
 * One control instance with its disk, its links and its two servers.
 *
 * @public
 */
export class ControlInstance {
  private readonly links: LinkPool;
  private readonly transport: WireTransport;
  private raft: RaftNode | undefined;
  private controlNode: ControlNode | undefined;
  private wireServer: WireServer | undefined;
  private operatorServer: OperatorServer | undefined;

  constructor(private readonly options: ControlInstanceOptions) {
    const {name, peerKey, peerTls} = options;
    this.links = new LinkPool({name, peerKey, tls: peerTls});
    this.transport = new WireTransport(this.links);
  }

  /** The commands and queries of this instance; throws before the start. */
  get node(): ControlNode {
    if (this.controlNode) return this.controlNode;
    throw new Error('the control instance has not been started');
  }

  /**
   * Reads the disk and starts the servers.
   *
   * @throws SycamoreheadError `storage_failed`.
   */
  async start(): Promise<ControlInstancePorts> {
    const {host, port, peerPort, peerKey, operatorToken} = this.options;
    const node = await this.createNode();
    this.controlNode = node;
    await this.raft?.start();
    const forwarder = new LeaderForwarder({
      links: this.links,
      getStatus: () => node.readStatus(),
    });
    this.operatorServer = new OperatorServer({
      node,
      forwarder,
      host,
      port,
      operatorToken,
      tls: this.options.operatorTls,
      clientLimits: this.options.clientLimits,
    });
    this.wireServer = new WireServer({
      host,
      port: peerPort,
      peerKey,
      tls: this.options.peerTls,
      methods: {
        ...createControlMethods(node, forwarder),
        ...createConsensusMethods(() => (this.raft ? [this.raft] : [])),
      },
    });
    return {
      peerPort: await this.wireServer.start(),
      port: await this.operatorServer.start(),
    };
  }

  /**
   * Creates the Raft group on the first start; see createFirstGroup.
   *
   * @throws SycamoreheadError `settings_invalid` if a group exists, `timeout`.
   */
  async createGroup(
    addresses: Readonly<Record<string, string>>,
    timeoutMs: number,
  ): Promise<void> {
    const {raft, transport} = this;
    if (!raft) return;
    await createFirstGroup({node: raft, transport, addresses, timeoutMs});
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    await this.operatorServer?.stop();
    await this.controlNode?.stop();
    this.links.stop();
    await this.wireServer?.stop();
  }

  /** Stops at once, like a killed process, without transferring leadership or finishing calls. */
  async abort(): Promise<void> {
    this.raft?.abort();
    this.links.stop();
    await this.wireServer?.stop();
    await this.operatorServer?.stop();
  }

  private async createNode(): Promise<ControlNode> {
    const {name, dataFolder, leaseMs, reconciler} = this.options;
    if (!dataFolder) {
      log('state_in_memory', {name});
      return new ControlNode({
        name,
        leaseMs,
        reconciler,
        createLog: machine => new SingleVoterLog(name, machine),
      });
    }
    // The member id is stored in the folder of its log, so that neither is lost without the other.
    const folder = path.join(dataFolder, `shard-${CONFIGURATION_SHARD}`);
    const disk = new FileDisk(folder);
    const id = await loadMemberId(disk, name);
    const {timing, onFailure} = this.options;
    return new ControlNode({
      name,
      leaseMs,
      reconciler,
      createLog: machine => {
        this.raft = new RaftNode({
          shard: CONFIGURATION_SHARD,
          id,
          machine,
          disk,
          transport: this.transport,
          timing,
          onFailure,
        });
        return this.raft;
      },
    });
  }
}
