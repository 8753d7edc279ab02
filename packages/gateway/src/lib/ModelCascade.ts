import {
  ModelChoiceInput,
  ModelPolicy,
  chooseModel,
  isWorthEscalating,
} from '@sycamorehead/routing';
import type {Placement} from './Placement.js';
import type {RequestTarget} from './resolveTarget.js';

/**
 * The models that one request was given to, smallest first, and what the last thought of its
 * answer.
 *
 * @internal
 */
export class ModelCascade {
  /** Model that answered last. */
  private answered: string | undefined;
  /** What that model thought of its answer, 0 to 100. */
  private confidence: number | undefined;
  private isLargerWanted = false;
  /** How full the engines were at the last choice. */
  private pressure: number | undefined;

  constructor(
    private readonly policy: ModelPolicy,
    private readonly placement: Placement,
  ) {}

  // Commands.

  /** Notes which model has answered. */
  recordAnswer(
    model: string | undefined,
    confidence: number | undefined,
  ): void {
    this.answered = model;
    this.confidence = confidence;
  }

  /** Asks a larger model from now on. */
  requestLargerModel(): void {
    this.isLargerWanted = true;
  }

  /**
   * Chooses the model of the next send, and notes how full the engines are; undefined where the
   * caller names it.
   */
  chooseNext(target: RequestTarget): string | undefined {
    if (target.route.models.length === 0) return undefined;
    const previous = this.isLargerWanted ? this.answered : undefined;
    const choice = this.describeChoice(target, previous);
    this.pressure = choice.pressure;
    return chooseModel(this.policy, choice);
  }

  // Queries.

  /** Model that answered last. */
  get answeredBy(): string | undefined {
    return this.answered;
  }

  /** What the model that answered last thought of its answer, 0 to 100. */
  get lastConfidence(): number | undefined {
    return this.confidence;
  }

  /** Whether the last answer is weak enough to ask a larger model, which happens once. */
  isWeak(target: RequestTarget): boolean {
    if (this.isLargerWanted) return false;
    const choice = this.describeChoice(target, this.answered);
    return isWorthEscalating(this.policy, choice);
  }

  /** How full the engines were at the last choice of a model; 0 is idle. */
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
