import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {
  ConnectOptions,
  MethodTable,
  PeerAddress,
  PeerLink,
  connectPeer,
} from '@sycamorehead/wire';
import type {UsageReport} from './PeerUsage.js';
import type {UsageReporter} from './UsageReporter.js';

const log = createLogger('usage');

const EXCHANGE_METHOD = 'routing.exchangeUsage';
const INTERVAL_MS = 100;
const ANSWER_TIMEOUT_MS = 500;
const RECONNECT_MS = 500;
const MAX_LISTED = 20_000;

/** Settings of a UsageExchange. @public */
export interface UsageExchangeOptions {
  readonly name: string;
  readonly peers: readonly PeerAddress[];
  readonly peerKey: string;
  /** TLS settings of the links; plain TCP if absent. */
  readonly peerTls?: ConnectOptions['tls'];
  readonly reporter: UsageReporter;
}

/**
 * Exchanges usage reports with the other entries. Over each link this entry sends its report and
 * receives the peer's in the response, so that one link per pair updates both.
 *
 * @public
 */
export class UsageExchange {
  private stopped = false;
  private readonly links = new Set<PeerLink>();

  constructor(private readonly options: UsageExchangeOptions) {}

  // Commands.

  /** Connects to every peer and exchanges reports until stopped. */
  start(): void {
    for (const address of this.options.peers) void this.keepConnected(address);
  }

  /** Closes the links. */
  stop(): void {
    this.stopped = true;
    for (const link of this.links) link.close('usage exchange stops');
  }

  // Queries.

  /** The methods that this entry serves to its peers. */
  getMethods(): MethodTable {
    return {
      [EXCHANGE_METHOD]: (report: UsageReport): UsageReport => {
        this.options.reporter.receive(validateReport(report));
        return this.options.reporter.build();
      },
    };
  }

  private async keepConnected(address: PeerAddress): Promise<void> {
    const {name, peerKey, peerTls: tls} = this.options;
    while (!this.stopped) {
      try {
        await this.runExchange(
          await connectPeer({address, name, peerKey, tls}),
        );
      } catch (error) {
        log('usage_peer_lost', {port: address.port, error: String(error)});
      }
      await sleep(RECONNECT_MS);
    }
  }

  private async runExchange(link: PeerLink): Promise<void> {
    const {reporter} = this.options;
    this.links.add(link);
    try {
      while (!this.stopped && !link.isClosed) {
        const report = await link.request<UsageReport>(
          EXCHANGE_METHOD,
          reporter.build(),
          ANSWER_TIMEOUT_MS,
        );
        reporter.receive(validateReport(report));
        await sleep(INTERVAL_MS);
      }
    } finally {
      this.links.delete(link);
      link.close('usage exchange ends');
    }
  }
}

/** Validates the fields that the policies rely on; the peer has been authenticated by its key. */
function validateReport(report: UsageReport): UsageReport {
  const isValid =
    typeof report.entry === 'string' &&
    Number.isFinite(report.sequence) &&
    Number.isFinite(report.queued?.short) &&
    Number.isFinite(report.queued?.long) &&
    Array.isArray(report.servers) &&
    Array.isArray(report.customers) &&
    report.servers.length + report.customers.length <= MAX_LISTED;
  if (isValid) return report;
  throw new SycamoreheadError('frame_invalid', 'usage report: wrong form');
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}
