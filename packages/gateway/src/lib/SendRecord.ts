import type {CallerRequest} from './CallerRequest.js';
import {buildWorkKind} from './AnswerTimes.js';
import type {ForwardContext} from './gatewayTypes.js';
import type {SlotReservation} from './Placement.js';
import type {RequestTarget} from './resolveTarget.js';
import type {AttemptOutcome} from './sendAttempt.js';
import type {AnswerResult} from './VersionSplit.js';

/**
 * One send of a request to one backend server, and what the entry learns from it: times, reading
 * rates, kept prompt parts, failures and evidence on versions.
 *
 * @internal
 */
export class SendRecord {
  /** Kind of work, by which times are compared. */
  readonly kind: string;
  private readonly sentAt = performance.now();

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    /** Where the request went by the configuration in force when it left. */
    readonly target: RequestTarget,
    readonly reservation: SlotReservation,
    /** Model that the send named, if any. */
    readonly model: string | undefined,
  ) {
    this.kind = buildWorkKind(target.route.name, model);
  }

  /** Notes how the send ended; a failure counts against the server unless the send was given up. */
  recordOutcome(outcome: AttemptOutcome, isGivenUp: boolean): void {
    const {servers, metrics} = this.context;
    const {server} = this.reservation;
    metrics.recordAttempt(server.listing.registration.service, outcome.type);
    if (outcome.type === 'refused' && outcome.isMisdirected) {
      servers.markReplaced(server);
    }
    const hasFailed = outcome.type === 'unsent' || outcome.type === 'lost';
    if (hasFailed && !isGivenUp) servers.recordFailure(server, outcome.reason);
    if (outcome.type === 'lost') this.noteEvidence('lost');
  }

  /** Notes that the server answered with an error of its own. */
  recordError(): void {
    this.noteEvidence('failed');
  }

  /** Notes that the first bytes of a good answer have arrived. */
  recordFirstBytes(): void {
    const {context, request, reservation: place, model} = this;
    const timeMs = performance.now() - this.sentAt;
    place.markStarted();
    if (model !== undefined && place.isUncontended) {
      context.rates.recordPrefill(model, place.tokensToPrefill, timeMs);
    }
    context.metrics.recordFirstByte(performance.now() - request.arrivedAt);
    const ratio = context.times.recordTime(this.kind, timeMs);
    context.servers.recordAnswer(place.server, ratio);
    this.noteEvidence('answered', timeMs);
    if (model === undefined) return;
    const keys = request.promptSegments.map(({id}) => `${model} ${id}`);
    context.servers.recordSegments(place.server, keys);
  }

  /** Notes that an answer that had begun broke off. */
  recordInterruption(reason: string): void {
    this.noteEvidence('lost');
    this.context.servers.recordFailure(this.reservation.server, reason);
  }

  private noteEvidence(result: AnswerResult, timeMs?: number): void {
    const {context, reservation: place, kind} = this;
    context.versions.recordAnswer(place.server, kind, result, timeMs);
  }
}
