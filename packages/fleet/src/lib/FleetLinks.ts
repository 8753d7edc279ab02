import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {PeerLink, connectPeer, parsePeerAddress} from '@sycamorehead/wire';
import {
  ExchangeReply,
  ExchangeRequest,
  FLEET_METHODS,
  FleetUpdate,
  StoredConfiguration,
} from './fleetMessages.js';
import {FLEET_LINK_TIMEOUTS} from './linkTimeouts.js';

const log = createLogger('fleet');

/** Pause before a control instance is tried again, in milliseconds; grows to the maximum. */
const RETRY_MS = 200;
const MAX_RETRY_MS = 1_500;
/** Time allowed for a whole configuration, in milliseconds. */
const FETCH_TIMEOUT_MS = 1_500;
/** Time after which a control instance that is not a seed and does not answer is forgotten. */
const FORGET_MS = 120_000;

/** Settings of the links from an entry to the control instances. @public */
export interface FleetLinksOptions {
  readonly entry: string;
  readonly peerKey: string;
  readonly seeds: readonly string[];
  onUpdate(update: FleetUpdate): void;
  /** Called with a configuration higher than the last one. */
  onConfiguration(configuration: StoredConfiguration): void;
}

interface ControlTask {
  readonly address: string;
  link: PeerLink | undefined;
  isLeading: boolean;
  configurationVersion: number;
  isFetching: boolean;
  lastLinkedAt: number;
}

/**
 * An entry's links to every control instance that it knows: one task for each. Whichever tells
 * first of a change is believed; registrations and versions are ordered by what they carry.
 *
 * @public
 */
export class FleetLinks {
  private readonly tasks = new Map<string, ControlTask>();
  private configurationVersion = 0;
  private isStopped = false;

  constructor(private readonly options: FleetLinksOptions) {}

  // Commands.

  /** Begins with the seeds. */
  start(): void {
    this.addControls(this.options.seeds);
  }

  /** Links to control instances that are not known yet. */
  addControls(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (this.tasks.has(address)) continue;
      const task: ControlTask = {
        address,
        link: undefined,
        isLeading: false,
        configurationVersion: 0,
        isFetching: false,
        lastLinkedAt: performance.now(),
      };
      this.tasks.set(address, task);
      void this.runTask(task);
    }
  }

  /** Reports the own load to the leader, or another control instance, for that of the others. */
  async exchange(request: ExchangeRequest): Promise<ExchangeReply> {
    const linked = [...this.tasks.values()].filter(({link}) => link);
    const task = linked.find(({isLeading}) => isLeading) ?? linked[0];
    if (!task?.link) throw new Error('no control instance is linked');
    return task.link.request<ExchangeReply>(FLEET_METHODS.exchange, request);
  }

  stop(): void {
    this.isStopped = true;
    for (const {link} of this.tasks.values()) link?.close('the entry stops');
  }

  // Queries.

  /** Counts the control instances that are linked. */
  countLinked(): number {
    return [...this.tasks.values()].filter(({link}) => link).length;
  }

  private async runTask(task: ControlTask): Promise<void> {
    let failures = 0;
    while (!this.isStopped && this.tasks.has(task.address)) {
      try {
        await this.holdLink(task);
        failures = 0;
      } catch (error) {
        log('control_unreachable', {
          control: task.address,
          error: String(error),
        });
      }
      failures += 1;
      this.dropIfGone(task);
      await sleep(Math.min(MAX_RETRY_MS, failures * RETRY_MS));
    }
  }

  /** Opens a link and returns once it has closed. */
  private async holdLink(task: ControlTask): Promise<void> {
    const {entry, peerKey} = this.options;
    const link = await connectPeer({
      address: parsePeerAddress(task.address),
      name: entry,
      peerKey,
      timeouts: FLEET_LINK_TIMEOUTS,
      methods: {
        [FLEET_METHODS.update]: (update: FleetUpdate) => {
          this.takeUpdate(task, update);
        },
      },
    });
    const closed = new Promise<void>(resolve => link.addCloseListener(resolve));
    try {
      const everything = await link.request<FleetUpdate>(
        FLEET_METHODS.subscribe,
        {entry},
      );
      task.link = link;
      task.lastLinkedAt = performance.now();
      writeDecision('control_linked', {control: task.address});
      this.takeUpdate(task, everything);
      await closed;
      writeDecision('control_lost', {control: task.address});
    } finally {
      task.link = undefined;
      task.isLeading = false;
      task.lastLinkedAt = performance.now();
      link.close('subscription ended');
    }
  }

  private takeUpdate(task: ControlTask, update: FleetUpdate): void {
    if (this.isStopped) return;
    if (update.isLeading !== undefined) task.isLeading = update.isLeading;
    if (update.controls) this.addControls(update.controls);
    this.options.onUpdate(update);
    const {configurationVersion} = update;
    if (configurationVersion === undefined) return;
    task.configurationVersion = configurationVersion;
    void this.fetchNewer(task);
  }

  private async fetchNewer(task: ControlTask): Promise<void> {
    if (task.isFetching) return;
    task.isFetching = true;
    try {
      while (
        task.link &&
        task.configurationVersion > this.configurationVersion
      ) {
        const stored = await task.link.request<StoredConfiguration>(
          FLEET_METHODS.fetchConfiguration,
          {},
          FETCH_TIMEOUT_MS,
        );
        if (stored.version <= this.configurationVersion) break;
        this.configurationVersion = stored.version;
        this.options.onConfiguration(stored);
      }
    } catch (error) {
      log('fetch_failed', {control: task.address, error: String(error)});
      // A link that does not carry a configuration is replaced.
      task.link?.close('fetch failed');
    } finally {
      task.isFetching = false;
    }
  }

  private dropIfGone(task: ControlTask): void {
    const isSeed = this.options.seeds.includes(task.address);
    const silentMs = performance.now() - task.lastLinkedAt;
    if (!isSeed && silentMs > FORGET_MS) this.tasks.delete(task.address);
  }
}
