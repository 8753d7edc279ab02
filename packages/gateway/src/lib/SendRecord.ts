import type {CallerRequest} from './CallerRequest.js';
import {buildWorkKind} from './AnswerTimes.js';
import type {ForwardContext} from './gatewayTypes.js';
import type {Place} from './Placement.js';
import type {RequestTarget} from './resolveTarget.js';
import type {AttemptOutcome} from './sendAttempt.js';
import type {AnswerResult} from './VersionSplit.js';

/**
 * One send of a request to one backend server. It records what the entry learns from the send:
 * answer times, prefill rates, cached prompt segments, failures and evidence on versions.
 *
 * @internal
 */
export class SendRecord {
  /** Kind of work, by which answer times are tracked. */
  readonly kind: string;
  private readonly sentAt = performance.now();

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    /** The target of the request by the configuration in force when it was sent. */
    readonly target: RequestTarget,
    readonly place: Place,
    /** Model that the send named, if any. */
    readonly model: string | undefined,
  ) {
    this.kind = buildWorkKind(target.route.name, model);
  }

  /**
   * Records the outcome of the send; a failure counts against the server unless the send was
   * abandoned.
   */
  noteOutcome(outcome: AttemptOutcome, isGivenUp: boolean): void {
    const {servers, metrics} = this.context;
    const {server} = this.place;
    metrics.noteAttempt(server.listing.registration.service, outcome.type);
    if (outcome.type === 'refused' && outcome.isMisdirected) {
      servers.noteReplaced(server);
    }
    const hasFailed = outcome.type === 'unsent' || outcome.type === 'lost';
    if (hasFailed && !isGivenUp) servers.noteFailure(server, outcome.reason);
    if (outcome.type === 'lost') this.noteEvidence('lost');
  }

  /** Records that the server answered with an error of its own. */
  noteError(): void {
    this.noteEvidence('failed');
  }

  /** Records that the first bytes of an answer have arrived. */
  noteFirstBytes(): void {
    const {context, request, place, model} = this;
    const timeMs = performance.now() - this.sentAt;
    place.noteStarted();
    if (model !== undefined && place.isAlone) {
      context.rates.noteRead(model, place.tokensToRead, timeMs);
    }
    context.metrics.noteFirstByte(performance.now() - request.arrivedAt);
    const ratio = context.times.noteTime(this.kind, timeMs);
    context.servers.noteAnswer(place.server, ratio);
    this.noteEvidence('answered', timeMs);
    if (model === undefined) return;
    const keys = request.parts.map(({id}) => `${model} ${id}`);
    context.servers.noteParts(place.server, keys);
  }

  /** Records that an answer that had begun was interrupted. */
  noteBroken(reason: string): void {
    this.noteEvidence('lost');
    this.context.servers.noteFailure(this.place.server, reason);
  }

  private noteEvidence(result: AnswerResult, timeMs?: number): void {
    const {context, place, kind} = this;
    context.versions.noteAnswer(place.server, kind, result, timeMs);
  }
}
