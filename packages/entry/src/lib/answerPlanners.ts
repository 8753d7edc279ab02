import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import type {AnswerFrame} from './AnswerFrame.js';
import type {
  AnswerPlanner,
  ChatDependencies,
  ChatTask,
  Charge,
  PlannedAnswer,
} from './answerTypes.js';
import {AnswerSource} from './AnswerSource.js';
import {explainDecision} from './explainDecision.js';
import type {ResolvedVersion} from './VersionResolver.js';

/** Times that a request whose version is withdrawn before its first frame is resolved again. */
const MAX_RESOLUTIONS = 3;

/** One version for the whole answer, resolved again while nothing of it has been yielded. */
class SingleVersionAnswer implements PlannedAnswer {
  private source: AnswerSource;

  constructor(
    private readonly parts: ChatDependencies,
    private readonly task: ChatTask,
    private resolved: ResolvedVersion,
  ) {
    this.source = this.openSource();
  }

  get version() {
    return this.resolved.version;
  }

  get revision() {
    return this.resolved.revision;
  }

  async *stream(): AsyncGenerator<AnswerFrame> {
    for (let resolution = 1; ; resolution++) {
      try {
        yield* this.source.stream();
        return;
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        const isOver = resolution >= MAX_RESOLUTIONS || this.source.offset > 0;
        if (error.kind !== 'version_withdrawn' || isOver) throw error;
        await this.resolveAgain(error);
      }
    }
  }

  listCharges(): Charge[] {
    const usage = this.source.getUsage();
    return usage ? [{version: this.version, usage}] : [];
  }

  private async resolveAgain(error: SycamoreheadError): Promise<void> {
    const {versions} = this.parts;
    this.resolved = await versions.resolve(this.task.routed);
    this.task.exchange.setEndedPin(this.resolved.endedPin);
    this.source = this.openSource(error.ran !== 'no');
  }

  private openSource(hasRun = false): AnswerSource {
    const {routed, chat, signal} = this.task;
    return new AnswerSource(
      this.parts,
      routed,
      chat,
      this.resolved.version,
      signal,
      hasRun,
    );
  }
}

const planSingleVersion: AnswerPlanner = async (parts, task) => {
  const resolved = await parts.versions.resolve(task.routed);
  task.exchange.setEndedPin(resolved.endedPin);
  explainDecision(task.exchange, resolved, parts.debugKey);
  return new SingleVersionAnswer(parts, task, resolved);
};

/** Ways to produce an answer, by name. @public */
export const ANSWER_PLANNERS = {
  single_version: planSingleVersion,
} as const satisfies Record<string, AnswerPlanner>;

/** Name of a way to produce an answer. @public */
export type AnswerPlannerName = keyof typeof ANSWER_PLANNERS;
