import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {connectPeer, parsePeerAddress} from '@sycamorehead/wire';
import {
  ConfigurationFetcher,
  ConfigurationSource,
} from './ConfigurationFetcher.js';
import {
  ExchangeReply,
  ExchangeRequest,
  FLEET_METHODS,
  FleetUpdate,
  StoredConfiguration,
} from './fleetMessages.js';
import {FLEET_LINK_TIMEOUTS} from './linkTimeouts.js';

const log = createLogger('fleet');

/** Backoff before reconnecting to a control instance, in milliseconds; grows up to the maximum. */
const BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 1_500;
/** Time for which an instance that hears too few others is avoided, in milliseconds. */
const ISOLATION_MS = 2_000;
/** Time after which an unlinked control instance that is not a seed is removed, in milliseconds. */
const EXPIRY_MS = 120_000;

/** Settings of the links from an entry to the control instances. @public */
export interface FleetLinksOptions {
  readonly entry: string;
  readonly dataCentre: string;
  readonly peerKey: string;
  readonly seeds: readonly string[];
  onUpdate(update: FleetUpdate): void;
  /** Called with each configuration of a higher version than the last one. */
  onConfiguration(configuration: StoredConfiguration): void;
}

interface ControlTask extends ConfigurationSource {
  isLeading: boolean;
  /** The time until which other instances are asked for load, on the monotonic clock. */
  isolatedUntil: number;
  lastLinkedAt: number;
}

/**
 * An entry's links to all known control instances, one task for each. The first report of a change
 * is applied, whichever instance sends it: registrations and configurations are ordered by their
 * own sequence and version numbers.
 *
 * @public
 */
export class FleetLinks {
  private readonly tasks = new Map<string, ControlTask>();
  private readonly fetcher: ConfigurationFetcher;
  private exchangeAddress: string | undefined;
  private isStopped = false;

  constructor(private readonly options: FleetLinksOptions) {
    this.fetcher = new ConfigurationFetcher({
      listSources: () => this.tasks.values(),
      onConfiguration: options.onConfiguration,
    });
  }

  // Commands.

  /** Connects to the seeds. */
  start(): void {
    this.addControls(this.options.seeds);
  }

  /** Connects to the control instances that are not known yet. */
  addControls(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (this.tasks.has(address)) continue;
      const task: ControlTask = {
        address,
        link: undefined,
        isLeading: false,
        isolatedUntil: -Infinity,
        configurationVersion: 0,
        isNear: false,
        lastLinkedAt: performance.now(),
      };
      this.tasks.set(address, task);
      void this.runTask(task);
    }
  }

  /**
   * Reports this entry's load and returns the load of the others. The request goes to a control
   * instance of the same data centre, else to the leader, else to any that is linked.
   */
  async exchange(request: ExchangeRequest): Promise<ExchangeReply> {
    const task = this.chooseExchangeTask();
    if (!task?.link) throw new Error('no control instance is linked');
    const reply = await task.link.request<ExchangeReply>(
      FLEET_METHODS.exchange,
      request,
    );
    if (reply.isIsolated) {
      task.isolatedUntil = performance.now() + ISOLATION_MS;
    }
    return reply;
  }

  stop(): void {
    this.isStopped = true;
    for (const {link} of this.tasks.values()) link?.close('the entry stops');
  }

  // Queries.

  /** Counts the linked control instances. */
  countLinked(): number {
    return [...this.tasks.values()].filter(({link}) => link).length;
  }

  /** Chooses the same instance again as long as it is linked and hears the others. */
  private chooseExchangeTask(): ControlTask | undefined {
    const now = performance.now();
    const linked = [...this.tasks.values()].filter(({link}) => link);
    const connected = linked.filter(({isolatedUntil}) => isolatedUntil <= now);
    const candidates = connected.length > 0 ? connected : linked;
    const near = candidates.filter(({isNear}) => isNear);
    const chosen =
      near.find(({address}) => address === this.exchangeAddress) ??
      near[0] ??
      candidates.find(({isLeading}) => isLeading) ??
      candidates[0];
    this.exchangeAddress = chosen?.address;
    return chosen;
  }

  private async runTask(task: ControlTask): Promise<void> {
    let failures = 0;
    while (!this.isStopped && this.tasks.has(task.address)) {
      try {
        await this.runLink(task);
        failures = 0;
      } catch (error) {
        log('control_unreachable', {
          control: task.address,
          error: String(error),
        });
      }
      failures += 1;
      this.dropIfExpired(task);
      await sleep(Math.min(MAX_BACKOFF_MS, failures * BACKOFF_MS));
    }
  }

  /** Opens a link and returns once it has closed. */
  private async runLink(task: ControlTask): Promise<void> {
    const {entry, peerKey} = this.options;
    const link = await connectPeer({
      address: parsePeerAddress(task.address),
      name: entry,
      peerKey,
      timeouts: FLEET_LINK_TIMEOUTS,
      methods: {
        [FLEET_METHODS.update]: (update: FleetUpdate) => {
          this.applyUpdate(task, update);
        },
      },
    });
    const closed = new Promise<void>(resolve => link.addCloseListener(resolve));
    try {
      const initialUpdate = await link.request<FleetUpdate>(
        FLEET_METHODS.subscribe,
        {entry},
      );
      task.link = link;
      task.lastLinkedAt = performance.now();
      writeDecision('control_linked', {control: task.address});
      this.applyUpdate(task, initialUpdate);
      await closed;
      writeDecision('control_lost', {control: task.address});
    } finally {
      task.link = undefined;
      task.isLeading = false;
      task.lastLinkedAt = performance.now();
      link.close('subscription ended');
    }
  }

  private applyUpdate(task: ControlTask, update: FleetUpdate): void {
    if (this.isStopped) return;
    if (update.isLeading !== undefined) task.isLeading = update.isLeading;
    if (update.dataCentre !== undefined) {
      task.isNear = update.dataCentre === this.options.dataCentre;
    }
    if (update.controls) this.addControls(update.controls);
    this.options.onUpdate(update);
    const {configurationVersion} = update;
    if (configurationVersion === undefined) return;
    task.configurationVersion = configurationVersion;
    this.fetcher.fetchNewer();
  }

  private dropIfExpired(task: ControlTask): void {
    const isSeed = this.options.seeds.includes(task.address);
    const silentMs = performance.now() - task.lastLinkedAt;
    if (!isSeed && silentMs > EXPIRY_MS) this.tasks.delete(task.address);
  }
}
