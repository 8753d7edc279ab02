import {
  ModelChoiceInput,
  ModelPolicy,
  chooseModel,
  isWorthEscalating,
} from '@sycamorehead/routing';
import type {Placement} from './Placement.js';
import type {RequestTarget} from './resolveTarget.js';

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
  /** The load of the engines at the last choice of a model. */
  private pressure: number | undefined;

  constructor(
    private readonly policy: ModelPolicy,
    private readonly placement: Placement,
  ) {}

  // Commands.

  /** Records which model has answered, and its confidence. */
  recordAnswer(
    model: string | undefined,
    confidence: number | undefined,
  ): void {
    this.answered = model;
    this.confidence = confidence;
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
    const previous = this.isLargerRequested ? this.answered : undefined;
    const choice = this.describeChoice(target, previous);
    this.pressure = choice.pressure;
    return chooseModel(this.policy, choice);
  }

  // Queries.

  /** Model that answered last. */
  get answeredBy(): string | undefined {
    return this.answered;
  }

  /** The confidence of the model that answered last, 0 to 100. */
  get lastConfidence(): number | undefined {
    return this.confidence;
  }

  /**
   * Returns whether the last answer is weak enough to ask a larger model, at most once per request.
   */
  isWeak(target: RequestTarget): boolean {
    if (this.isLargerRequested) return false;
    const choice = this.describeChoice(target, this.answered);
    return isWorthEscalating(this.policy, choice);
  }

  /** The load of the engines at the last choice of a model; 0 is idle. */
  get lastPressure(): number | undefined {
    return this.pressure;
  }

  private describeChoice(
    {route, service}: RequestTarget,
    previous: string | undefined,
  ): ModelChoiceInput {
    const {models, targetLatencyMs} = route;
    const {placement, confidence} = this;
    const pressure = placement.measurePressure(service.name, targetLatencyMs);
    return {models, previous, confidence, pressure};
  }
}
