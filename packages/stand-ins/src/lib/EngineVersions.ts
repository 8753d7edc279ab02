import {request} from 'undici';
import type {VersionRef} from '@sycamorehead/schema';
import type {EngineFaults} from './engineFaults.js';

/** An order that the engine received. @public */
export interface EngineOrder {
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly version: string;
  readonly fencing: number;
}

/** The engine's answer to an order. @internal */
export interface OrderAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Settings of EngineVersions. @internal */
export interface EngineVersionsOptions {
  readonly loaded: readonly VersionRef[];
  /** Whether orders with old fencing numbers are refused. */
  readonly checksFencing: boolean;
  readonly faults: EngineFaults;
  /** Base URL of the weight store; if absent, loads finish immediately. */
  readonly weightStore?: string;
}

/**
 * Manages the versions that a stand-in engine has loaded and executes load and unload orders.
 * @internal
 */
export class EngineVersions {
  /** The executed orders in order of execution; refused orders are not included. */
  readonly orders: EngineOrder[] = [];
  private receivedOrders = 0;
  private loaded: VersionRef[];
  /** Number of the newest order for each version; the result of an older load is dropped. */
  private readonly newestOrder = new Map<string, number>();
  private highestFencing = 0;

  constructor(private readonly options: EngineVersionsOptions) {
    this.loaded = [...options.loaded];
  }

  /** Lists the loaded versions. */
  list(): VersionRef[] {
    return [...this.loaded];
  }

  /** Returns whether a version is loaded. */
  has(ref: VersionRef): boolean {
    return this.loaded.some(loaded => isSame(loaded, ref));
  }

  /** Executes an order. Returns once the work has started; a load continues in the background. */
  async execute(order: EngineOrder): Promise<OrderAnswer> {
    const {checksFencing} = this.options;
    if (checksFencing && order.fencing < this.highestFencing) {
      return {status: 409, body: {error: {message: 'old fencing number'}}};
    }
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    this.receivedOrders += 1;
    const {model, version} = order;
    this.newestOrder.set(`${model}/${version}`, this.receivedOrders);
    if (order.action === 'load') return this.load(order, this.receivedOrders);
    this.orders.push(order);
    this.loaded = this.loaded.filter(loaded => !isSame(loaded, order));
    return {status: 200, body: {state: 'unloaded'}};
  }

  private async load(
    order: EngineOrder,
    orderNumber: number,
  ): Promise<OrderAnswer> {
    const {weightStore} = this.options;
    if (!weightStore) {
      this.orders.push(order);
      this.finishLoad(order, orderNumber);
      return {status: 200, body: {state: 'loaded'}};
    }
    const {model, version} = order;
    const answer = await request(`${weightStore}/weights/${model}/${version}`);
    if (answer.statusCode !== 200) {
      const {error} = (await answer.body.json()) as {error: object};
      return {status: 503, body: {error: {...error, ran: 'no'}}};
    }
    this.orders.push(order);
    void answer.body
      .text()
      .then(() => this.finishLoad(order, orderNumber))
      .catch(() => {});
    return {status: 202, body: {state: 'loading'}};
  }

  private finishLoad({model, version}: EngineOrder, orderNumber: number): void {
    if (this.options.faults.loadsNeverFinish) return;
    if (this.newestOrder.get(`${model}/${version}`) !== orderNumber) return;
    if (this.has({model, version})) return;
    this.loaded.push({model, version});
  }
}

function isSame(left: VersionRef, right: VersionRef): boolean {
  return left.model === right.model && left.version === right.version;
}
