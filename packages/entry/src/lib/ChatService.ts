import {createHash} from 'node:crypto';
import {
  ChatRequest,
  CustomerDeclaration,
  SycamoreheadError,
  computeDigest,
  estimatePromptTokens,
  formatVersionKey,
  parseChatRequest,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {RoutedRequest, listPermittedVersions} from '@sycamorehead/routing';
import {AnswerDelivery} from './AnswerDelivery.js';
import {ANSWER_PLANNERS, AnswerPlannerName} from './answerPlanners.js';
import type {AnswerFrame} from './AnswerFrame.js';
import type {ChatDependencies, ChatTask, PlannedAnswer} from './answerTypes.js';
import {authenticateCustomer} from './authenticateCustomer.js';
import {ChatBilling} from './ChatBilling.js';
import type {EntryTimeouts} from './entryTimeouts.js';
import type {HttpExchange} from './HttpExchange.js';
import {encodeStoredResponse} from './formatAnswer.js';
import {IdempotentRequest} from './IdempotentRequest.js';
import {readDeadlineMs} from './readDeadlineMs.js';
import {TaskCancellation} from './TaskCancellation.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_KIND = 'chat';
/** What an owner may take beyond its deadline to commit an outcome, in milliseconds. */
const OWNER_MARGIN_MS = 30_000;

/** What a ChatService works with. @public */
export interface ChatServiceOptions extends ChatDependencies {
  readonly entryName: string;
  readonly timeouts: EntryTimeouts;
  readonly planner?: AnswerPlannerName;
}

/** Commits the bill of a whole answer before its end is released. */
type AnswerCommit = (
  answer: PlannedAnswer,
  text: string,
  last: AnswerFrame,
) => Promise<void>;

/**
 * Serves `POST /v1/chat/completions`: admits the request, has its answer planned, delivered and
 * billed. Each step stands in a file of its own; see CONTEXT.md.
 *
 * @public
 */
export class ChatService {
  private readonly billing: ChatBilling;

  constructor(private readonly parts: ChatServiceOptions) {
    this.billing = new ChatBilling(parts);
  }

  /** Serves one request; what it throws is the answer. */
  async serve(exchange: HttpExchange): Promise<void> {
    const {configuration, metrics} = this.parts;
    const customer = authenticateCustomer(
      exchange.request.headers,
      configuration.get(),
    );
    const chat = parseChatRequest(await exchange.readJson(MAX_BODY_BYTES));
    const routed = this.buildRoutedRequest(exchange, customer, chat);
    const labels = {customer: customer.customer, kind: routed.kind};
    const seen = {version: 'none', outcome: 'ok'};
    try {
      listPermittedVersions(routed, configuration.get());
      await this.serveRouted(exchange, chat, routed, seen);
    } catch (error) {
      seen.outcome = toSycamoreheadError(error).kind;
      throw error;
    } finally {
      metrics.answers.inc({...labels, ...seen});
      const seconds = (performance.now() - exchange.startedAt) / 1_000;
      metrics.duration.observe(labels, seconds);
    }
  }

  private async serveRouted(
    exchange: HttpExchange,
    chat: ChatRequest,
    routed: RoutedRequest,
    seen: {version: string},
  ): Promise<void> {
    const key = exchange.readKeyHeader('Idempotency-Key');
    const isKeyed = key !== undefined;
    const {customer} = routed.customer;
    // A caller that gave a key may come back for the answer, so its work goes on without it.
    const end = new TaskCancellation(exchange, {
      answerMs: this.parts.timeouts.answerMs,
      cancelsOnDisconnect: !isKeyed,
    });
    const task: ChatTask = {
      exchange,
      chat,
      routed,
      requestKey: `${customer}/models/${key ?? routed.requestId}`,
      hasIdempotencyKey: isKeyed,
      signal: end.signal,
    };
    try {
      await (isKeyed ? this.runKeyed(task, seen) : this.runUnkeyed(task, seen));
    } finally {
      end.stop();
    }
  }

  private async runKeyed(
    task: ChatTask,
    seen: {version: string},
  ): Promise<void> {
    const {requestKey, routed, chat, exchange} = task;
    const keyed = new IdempotentRequest(this.parts, {
      requestKey,
      bodyDigest: computeDigest(chat),
      owner: `${this.parts.entryName}/${routed.requestId}`,
      isRepeatable: true,
      ownerLimitMs: this.parts.timeouts.answerMs + OWNER_MARGIN_MS,
    });
    const stored = await keyed.begin();
    if (stored) {
      exchange.sendStoredResponse(stored);
      exchange.logReleased(requestKey, true);
      return;
    }
    try {
      await this.runAdmitted(task, seen, async (answer, text, last) => {
        const bill = this.billing.compute(task, answer);
        const {requestId} = routed;
        const {stream} = chat;
        await keyed.complete(
          encodeStoredResponse({requestId, answer, text, last, stream}),
          bill,
        );
        this.billing.count(bill);
      });
    } catch (thrown) {
      throw await keyed.fail(thrown);
    }
  }

  private async runUnkeyed(
    task: ChatTask,
    seen: {version: string},
  ): Promise<void> {
    this.parts.commits.ensureCapacity();
    let planned: PlannedAnswer | undefined;
    let isBilled = false;
    const record = async (answer: PlannedAnswer) => {
      isBilled = true;
      await this.billing.record(task, answer);
    };
    try {
      await this.runAdmitted(task, seen, record, answer => {
        planned = answer;
      });
    } catch (error) {
      const isGone = toSycamoreheadError(error).kind === 'caller_gone';
      // What a caller was served before it went is billed like a whole answer, once.
      if (isGone && !isBilled && planned && planned.listCharges().length > 0) {
        await record(planned);
      }
      throw error;
    }
  }

  private async runAdmitted(
    task: ChatTask,
    seen: {version: string},
    commit: AnswerCommit,
    onPlanned?: (answer: PlannedAnswer) => void,
  ): Promise<void> {
    const {router, planner, timeouts} = this.parts;
    const ticket = await router.admit(task.routed);
    try {
      if (task.signal.aborted) throw createNotRun(task.signal.reason);
      const plan = ANSWER_PLANNERS[planner ?? 'single_version'];
      const answer = await plan(this.parts, task);
      onPlanned?.(answer);
      seen.version = formatVersionKey(answer.version);
      task.exchange.setOrigin(answer.version, answer.revision);
      const delivery = new AnswerDelivery(task, answer, timeouts.callerStallMs);
      delivery.observeFirstToken(() => {
        seen.version = formatVersionKey(answer.version);
        this.observeFirstToken(task);
      });
      await delivery.send(async (text, last) => {
        await commit(answer, text, last);
        const {version, revision} = answer;
        const {routed} = task;
        this.parts.feedback?.observeAnswer({routed, version, revision, text});
      });
      task.exchange.logReleased(task.requestKey);
    } finally {
      ticket.release();
    }
  }

  private observeFirstToken(task: ChatTask): void {
    if (!task.chat.stream) return;
    const seconds = (performance.now() - task.exchange.startedAt) / 1_000;
    const {customer, kind} = task.routed;
    this.parts.metrics.firstToken.observe(
      {customer: customer.customer, kind},
      seconds,
    );
  }

  private buildRoutedRequest(
    exchange: HttpExchange,
    customer: CustomerDeclaration,
    chat: ChatRequest,
  ): RoutedRequest {
    const first = chat.messages[0]?.content ?? '';
    return {
      requestId: exchange.requestId,
      customer,
      model: chat.model,
      kind: chat.metadata?.kind ?? DEFAULT_KIND,
      promptTokens: estimatePromptTokens(chat.messages),
      maxTokens: chat.max_tokens,
      session: exchange.readKeyHeader('Sycamorehead-Session'),
      prefixKey: createHash('sha256').update(first).digest('hex').slice(0, 16),
      deadlineAt:
        exchange.startedAt + readDeadlineMs(chat, this.parts.timeouts.answerMs),
    };
  }
}

/** The reason of an abort that came before anything was dispatched. */
function createNotRun(reason: unknown): SycamoreheadError {
  const {kind, message} = toSycamoreheadError(reason);
  return new SycamoreheadError(kind, message, {ran: 'no'});
}
