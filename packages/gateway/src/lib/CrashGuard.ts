import {SycamoreheadError} from '@sycamorehead/schema';
import {CallerRequest, listSharedSegments} from './CallerRequest.js';
import {computeFingerprint} from './computeFingerprint.js';
import type {ForwardContext} from './gatewayTypes.js';
import {buildQuarantineRefusal} from './refusals.js';
import {RequestTarget, findTarget} from './resolveTarget.js';
import type {RunTracker} from './RunTracker.js';
import type {SendRecord} from './SendRecord.js';

/**
 * Maximum number of servers whose answers break off as they begin, after which no further server is
 * exposed to the request: the servers may have crashed because of it.
 */
const MAX_BROKEN_BEGINNINGS = 2;

/**
 * Protects the backend servers from one request, if servers crash under a segment of its prompt or
 * may have crashed because of it.
 *
 * @internal
 */
export class CrashGuard {
  private readonly segments: readonly string[];
  private quarantined: readonly string[] | undefined;
  private serviceName = '';
  private requestFingerprint: string | undefined;
  private brokenBeginnings = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly runs: RunTracker,
  ) {
    this.segments = listSharedSegments(request);
  }

  // Commands.

  /**
   * Calls back if segments of the prompt are put into quarantine. Returns a function that ends this.
   */
  watch(onQuarantined: () => void): () => void {
    const {context, request} = this;
    return context.quarantine.watch(this.segments, () => {
      const target = findTarget(context.getRoutes(), request);
      if (!target?.service.engine) return;
      this.recordQuarantine(target);
      onQuarantined();
    });
  }

  /**
   * Checks that the prompt is not in quarantine.
   *
   * @throws SycamoreheadError `segment_quarantined`, or `outcome_unknown` if the request may have run.
   */
  checkSend(target: RequestTarget): void {
    this.requestFingerprint ??= computeFingerprint(
      this.request,
      target.customer,
    );
    if (!target.service.engine) return;
    this.recordQuarantine(target);
    if (this.quarantined === undefined) return;
    throw buildQuarantineRefusal(this.quarantined, this.runs.mayHaveRun);
  }

  /**
   * Counts an answer that broke off.
   *
   * @throws SycamoreheadError `outcome_unknown` if no further server may be exposed to the request.
   */
  recordInterruption(send: SendRecord): void {
    if (!send.isBeginning) return;
    this.brokenBeginnings += 1;
    if (this.brokenBeginnings < MAX_BROKEN_BEGINNINGS) return;
    throw new SycamoreheadError(
      'outcome_unknown',
      'several servers failed as they began to answer',
    );
  }

  /** Counts the request, which has failed, if it ended because of a quarantine. */
  recordFailure(): void {
    if (this.quarantined === undefined) return;
    this.context.metrics.recordQuarantined(this.serviceName);
  }

  // Queries.

  /** The fingerprint of the request; undefined if it was refused before its first send. */
  get fingerprint(): string | undefined {
    return this.requestFingerprint;
  }

  /** The error of a request that ended because of a quarantine. */
  get failure(): SycamoreheadError | undefined {
    if (this.quarantined === undefined) return undefined;
    return buildQuarantineRefusal(this.quarantined, this.runs.mayHaveRun);
  }

  private recordQuarantine({service}: RequestTarget): void {
    this.quarantined = this.context.quarantine.findQuarantined(this.segments);
    this.serviceName = service.name;
  }
}
