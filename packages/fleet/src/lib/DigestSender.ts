import type {LinkPool} from '@sycamorehead/consensus';
import {createLogger} from '@sycamorehead/telemetry';
import type {ControlPeers} from './ControlPeers.js';
import type {EntryReports} from './EntryReports.js';
import {FLEET_METHODS} from './fleetMessages.js';
import {computeDigestInterval} from './computeDigestInterval.js';

const log = createLogger('fleet');

/** Timeout of sending one digest, in milliseconds. */
const DIGEST_TIMEOUT_MS = 500;

/** What a DigestSender sends, and to whom. @internal */
export interface DigestSenderOptions {
  readonly reports: EntryReports;
  readonly peers: ControlPeers;
  readonly links: LinkPool;
}

/**
 * Sends digests of the entries' reports to the other control instances.
 *
 * @internal
 */
export class DigestSender {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: DigestSenderOptions) {}

  /** Starts to send; the interval follows the number of entries. */
  start(): void {
    this.timer = setTimeout(() => {
      this.sendDigest();
      this.start();
    }, computeDigestInterval(this.options.reports.load.countEntries()));
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private sendDigest(): void {
    const {reports, peers, links} = this.options;
    const digest = reports.describeDigest();
    for (const {address} of peers.listReachable()) {
      links
        .request(address, FLEET_METHODS.digest, digest, DIGEST_TIMEOUT_MS)
        .catch((error: unknown) =>
          log('digest_failed', {peer: address, error: String(error)}),
        );
    }
  }
}
