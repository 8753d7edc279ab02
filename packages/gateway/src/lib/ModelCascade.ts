import {
  ModelChoiceInput,
  ModelOption,
  chooseModel,
  isWorthEscalating,
} from '@sycamorehead/routing';
import {buildWorkKind} from './AnswerTimes.js';
import type {CallerRequest} from './CallerRequest.js';
import type {ForwardContext} from './gatewayTypes.js';
import {measurePendingMs} from './measurePendingMs.js';
import type {RequestTarget} from './resolveTarget.js';

const TOKENS_PER_PRICE = 1_000;
/** Price of a prompt token, as a fraction of that of an answer token. */
const PROMPT_PRICE_FRACTION = 0.25;

/** What the description of a model depends on. */
interface ModelConditions {
  /** The model whose answer was weak. */
  readonly previous: string | undefined;
  /** What a millisecond of an engine's time costs the other requests. */
  readonly timePrice: number;
}

/**
 * Tracks the models to which one request is sent, the smallest first, and the confidence of the
 * last one in its answer.
 *
 * @internal
 */
export class ModelCascade {
  /** Model that answered last. */
  private answered: string | undefined;
  /** The confidence of that model in its answer, 0 to 100. */
  private confidence: number | undefined;
  private isLargerRequested = false;
  private isRecorded = false;
  /** The load of the engines at the last choice of a model. */
  private pressure: number | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
  ) {}

  // Commands.

  /** Records which model has answered, and its confidence. */
  recordAnswer(
    {route}: RequestTarget,
    model: string | undefined,
    confidence: number | undefined,
  ): void {
    const {answered: smaller, confidence: smallerConfidence} = this;
    this.answered = model;
    this.confidence = confidence;
    if (!this.isLargerRequested || smaller === model) return;
    if (smaller === undefined || model === undefined) return;
    if (smallerConfidence === undefined || confidence === undefined) return;
    const isLargest = model === route.models.at(-1);
    const pair = {smaller, larger: model};
    this.context.gains.record(pair, smallerConfidence, confidence, isLargest);
  }

  /** Requests a larger model from now on. */
  requestLargerModel(): void {
    this.isLargerRequested = true;
  }

  /**
   * Chooses the model of the next send and records the load of the engines. Returns undefined if
   * the caller names the model.
   */
  chooseNext(target: RequestTarget): string | undefined {
    if (target.route.models.length === 0) return undefined;
    if (!this.isRecorded) this.recordRequest(target);
    return this.choose(this.describeNext(target));
  }

  /**
   * Chooses the larger model that should be asked, and may be, instead of accepting the last answer, and
   * records the load of the engines. Returns undefined if the answer is to be delivered.
   */
  chooseLarger(target: RequestTarget): string | undefined {
    const {budgets, policies} = this.context;
    if (!budgets.hasEscalationCapacity(target.service.name)) return undefined;
    const choice = this.describeChoice(target, this.answered);
    if (!isWorthEscalating(policies.model, choice)) return undefined;
    return this.choose(choice);
  }

  /** Records the time that a send takes of an engine. */
  recordSend({service}: RequestTarget, model: string | undefined): void {
    if (model === undefined) return;
    const {timePrices, rates} = this.context;
    const {promptTokens} = this.request.size;
    timePrices.recordSend(service.name, rates.estimateMs(model, promptTokens));
  }

  private recordRequest({route, service}: RequestTarget): void {
    this.isRecorded = true;
    const {values, timePrices} = this.context;
    const {size} = this.request;
    values.record(route.name, size);
    timePrices.recordRequest(service.name, {
      route: route.name,
      value: values.estimateValue(route.name, size),
      targetLatencyMs: route.targetLatencyMs,
    });
  }

  /** Chooses a model, and records the load of the engines. */
  private choose(choice: ModelChoiceInput): string | undefined {
    this.pressure = choice.pressure;
    return chooseModel(this.context.policies.model, choice);
  }

  // Queries.

  /** Finds the model of the next send, without recording anything. */
  findNext(target: RequestTarget): string | undefined {
    if (target.route.models.length === 0) return undefined;
    return chooseModel(this.context.policies.model, this.describeNext(target));
  }

  /** Model that answered last. */
  get answeredBy(): string | undefined {
    return this.answered;
  }

  /** The confidence of the model that answered last, 0 to 100. */
  get lastConfidence(): number | undefined {
    return this.confidence;
  }

  /** The load of the engines at the last choice of a model; 0 is idle. */
  get lastPressure(): number | undefined {
    return this.pressure;
  }

  private describeNext(target: RequestTarget): ModelChoiceInput {
    const previous = this.isLargerRequested ? this.answered : undefined;
    return this.describeChoice(target, previous);
  }

  private describeChoice(
    target: RequestTarget,
    previous: string | undefined,
  ): ModelChoiceInput {
    const {route, service} = target;
    const {placement, servers, values, timePrices} = this.context;
    // Where permits bound all sends, the time of the engines does not.
    const pendingMs = measurePendingMs(servers, service.name) ?? 0;
    const timePrice = timePrices.estimatePrice(service.name, pendingMs);
    return {
      models: route.models.map(model =>
        this.describeModel(target, {previous, timePrice}, model),
      ),
      previous,
      confidence: this.confidence,
      pressure: placement.measurePressure(service.name, route.targetLatencyMs),
      answerValue: values.estimateValue(route.name, this.request.size),
    };
  }

  private describeModel(
    {route, service}: RequestTarget,
    {previous, timePrice}: ModelConditions,
    name: string,
  ): ModelOption {
    const {gains, times, rates} = this.context;
    const {size, arrivedAt} = this.request;
    const {promptTokens, answerTokens} = size;
    const known = service.engine?.models.find(model => model.name === name);
    const tokens = answerTokens + promptTokens * PROMPT_PRICE_FRACTION;
    const typicalMs = times.getTypicalMs(buildWorkKind(route.name, name)) ?? 0;
    // A long prompt takes longer than what is typical on its route.
    const engineMs = rates.estimateMs(name, promptTokens);
    const answerMs = Math.max(typicalMs, engineMs);
    const beginsAfterMs = performance.now() - arrivedAt + answerMs;
    return {
      name,
      price: ((known?.cost ?? 0) * tokens) / TOKENS_PER_PRICE,
      delayCost: engineMs * timePrice,
      gain: gains.estimateGain(
        previous ?? '',
        name,
        name === route.models.at(-1),
      ),
      isLate: beginsAfterMs > route.targetLatencyMs,
    };
  }
}
