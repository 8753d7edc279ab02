import {
  BeginRequestResult,
  Bill,
  ControlApi,
  EvidenceBatch,
  EvidenceReceipt,
  EvidenceSink,
  FinishRequestResult,
  LeaseGrant,
  LeaseRequest,
  PlacementApi,
  ServerReport,
  ServerReportResponse,
  SessionPin,
  SycamoreheadError,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {TlsMaterial} from '@sycamorehead/telemetry';
import {PeerAddress, PeerLink, connectPeer} from '@sycamorehead/wire';

/** Settings of a ControlClient. @public */
export interface ControlClientOptions {
  /** Name of this client. */
  readonly name: string;
  /** Control instances, by name. */
  readonly instances: Readonly<Record<string, PeerAddress>>;
  readonly peerKey: string;
  readonly peerTls?: TlsMaterial;
  /** Timeout of one call including its retries, in milliseconds. */
  readonly callTimeoutMs?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 5_000;
/**
 * Time after which an instance that does not answer is abandoned for the next one, in milliseconds.
 */
const ATTEMPT_TIMEOUT_MS = 1_500;
/**
 * The duration of a lease counts from when its request was sent, so slow attempts are abandoned
 * early.
 */
const LEASE_TIMEOUT_MS = 1_000;
const WATCH_MARGIN_MS = 1_000;
const RETRY_PAUSE_MS = 50;

/** Error kinds after which a call is retried at another instance. All commands are idempotent. */
const RETRIED_KINDS = new Set([
  'not_leader',
  'link_closed',
  'timeout',
  'control_unavailable',
  'stopping',
  'storage_failed',
]);

/**
 * Calls the control instance that leads, over one persistent link.
 *
 * @public
 */
export class ControlClient implements ControlApi, EvidenceSink, PlacementApi {
  private link: PeerLink | undefined;
  private connecting: Promise<PeerLink> | undefined;
  private nextInstanceIndex = 0;
  private stopped = false;

  constructor(private readonly options: ControlClientOptions) {}

  renewLease(params: LeaseRequest): Promise<LeaseGrant> {
    return this.call('control.renewLease', params, LEASE_TIMEOUT_MS);
  }

  watchRevision(params: {
    knownRevision: number;
    waitMs: number;
  }): Promise<{revision: number}> {
    const timeoutMs = params.waitMs + WATCH_MARGIN_MS;
    return this.call('control.watchRevision', params, timeoutMs, timeoutMs);
  }

  pinSession(
    params: Parameters<ControlApi['pinSession']>[0],
  ): Promise<SessionPin> {
    return this.call('control.pinSession', params);
  }

  beginRequest(
    params: Parameters<ControlApi['beginRequest']>[0],
  ): Promise<BeginRequestResult> {
    return this.call('control.beginRequest', params);
  }

  finishRequest(
    params: Parameters<ControlApi['finishRequest']>[0],
  ): Promise<FinishRequestResult> {
    return this.call('control.finishRequest', params);
  }

  recordBill(bill: Bill): Promise<{isNew: boolean}> {
    return this.call('control.recordBill', bill);
  }

  reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt> {
    return this.call('control.reportEvidence', batch);
  }

  reportServers(report: ServerReport): Promise<ServerReportResponse> {
    return this.call('control.reportServers', report);
  }

  /** Closes the link. */
  stop(): void {
    this.stopped = true;
    this.link?.close('client stops');
  }

  private async call<Result>(
    method: string,
    params: unknown,
    budgetMs = this.options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS,
    attemptTimeoutMs = ATTEMPT_TIMEOUT_MS,
  ): Promise<Result> {
    const deadline = performance.now() + budgetMs;
    for (;;) {
      const remainingMs = deadline - performance.now();
      try {
        const link = await this.getLink();
        const timeoutMs = Math.min(remainingMs, attemptTimeoutMs);
        return await link.request<Result>(method, params, timeoutMs);
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        if (!RETRIED_KINDS.has(error.kind)) throw error;
        if (this.stopped || remainingMs <= RETRY_PAUSE_MS) {
          throw new SycamoreheadError(
            'control_unavailable',
            `${method}: ${error.message}`,
            {cause: error},
          );
        }
        this.selectNextInstance(error);
        await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
      }
    }
  }

  private async getLink(): Promise<PeerLink> {
    if (this.link && !this.link.isClosed) return this.link;
    this.connecting ??= this.connect().finally(() => {
      this.connecting = undefined;
    });
    return this.connecting;
  }

  private async connect(): Promise<PeerLink> {
    const names = Object.keys(this.options.instances);
    const name = names[this.nextInstanceIndex % names.length] ?? '';
    const address = this.options.instances[name];
    if (!address) {
      throw new SycamoreheadError('control_unavailable', 'no control instance');
    }
    this.link = await connectPeer({
      address,
      name: this.options.name,
      peerKey: this.options.peerKey,
      tls: this.options.peerTls,
    });
    return this.link;
  }

  private selectNextInstance(error: SycamoreheadError): void {
    const names = Object.keys(this.options.instances);
    const leaderIndex = error.leader ? names.indexOf(error.leader) : -1;
    this.nextInstanceIndex =
      leaderIndex >= 0 ? leaderIndex : this.nextInstanceIndex + 1;
    this.link?.close(`turns to another instance after ${error.kind}`);
    this.link = undefined;
  }
}
