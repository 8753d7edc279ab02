import {ReleaseNote, hashKey, releaseNoteSchema} from '@sycamorehead/schema';
import {StandInService} from '@sycamorehead/stand-ins';
import {EntryHost} from '../load/EntryHost.js';
import {ControlGroup} from './ControlGroup.js';
import {SteadyEngine} from './SteadyEngine.js';

const PEER_KEY = 'overhead-peer-key';
const SERVER_KEY = 'overhead-server-key';
const POLL_MS = 20;
const READY_TIMEOUT_MS = 15_000;

/** API key of the only customer. @internal */
export const OVERHEAD_CUSTOMER_KEY = 'overhead-customer-key';

/** Builds a note with one version, one service and one customer with high limits. @internal */
export function buildOverheadNote(): ReleaseNote {
  return releaseNoteSchema.parse({
    number: 1,
    follows: 0,
    add: {
      versions: [
        {
          model: 'm',
          version: 'v1',
          inputPrice: 1,
          outputPrice: 1,
          contextTokens: 8_192,
          qualityPrior: 0.9,
        },
      ],
      services: [
        {
          service: 'orders',
          calls: [
            {
              method: 'POST',
              path: '/deposits',
              repeatable: false,
              priceMicros: 5,
            },
            {method: 'GET', path: '/orders', repeatable: true, priceMicros: 1},
          ],
        },
      ],
      customers: [
        {
          customer: 'c',
          keyHash: hashKey(OVERHEAD_CUSTOMER_KEY),
          models: [{model: 'm', versions: 'any'}],
          services: ['orders'],
          limits: {requestsPerSecond: 1e6, tokensPerSecond: 1e8},
          qualityTarget: 0.5,
        },
      ],
    },
  });
}

/**
 * One entry in its own thread, with a steady engine, a service and three control instances that
 * store their state on disk.
 *
 * @internal
 */
export class OverheadFleet {
  entryUrl = '';
  engineUrl = '';
  serviceUrl = '';
  readonly control = new ControlGroup({
    peerKey: PEER_KEY,
    operatorToken: 'overhead-operator-token',
  });
  private host: EntryHost | undefined;
  private readonly engine = new SteadyEngine({
    id: 'steady-1',
    version: {model: 'm', version: 'v1'},
    serverKey: SERVER_KEY,
  });
  private service: StandInService | undefined;

  /** Starts all components and waits until the entry lists both backend servers as ready. */
  async start(): Promise<void> {
    await this.control.start();
    await this.control.callLeader(node => node.publish(buildOverheadNote()));
    this.engineUrl = await this.engine.start();
    this.host = new EntryHost({
      names: ['entry-1'],
      control: this.control.addresses['control-1']!,
      peers: [],
      peerKey: PEER_KEY,
      serverKey: SERVER_KEY,
      policies: {},
    });
    const [entry] = await this.host.start();
    this.entryUrl = `http://127.0.0.1:${entry?.port}`;
    this.engine.announceTo([this.entryUrl]);
    this.service = new StandInService({
      id: 'orders-1',
      service: 'orders',
      dataCentre: 'dc-1',
      entries: [this.entryUrl],
      serverKey: SERVER_KEY,
    });
    this.serviceUrl = await this.service.start();
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while ((await this.host.countReady()) < 2) {
      if (performance.now() > deadline)
        throw new Error(
          `overhead fleet not ready within ${READY_TIMEOUT_MS} ms`,
        );
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  /** Stops all components. */
  async stop(): Promise<void> {
    await this.service?.stop();
    await this.host?.stop();
    await this.engine.stop();
    await this.control.stop();
  }
}
