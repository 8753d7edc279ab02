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
import {encodeStoredResponse} from './formatAnswer.js';
import type {HttpExchange} from './HttpExchange.js';
import {IdempotentRequest} from './IdempotentRequest.js';
import {readDeadlineMs} from './readDeadlineMs.js';
import {TaskCancellation} from './TaskCancellation.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_KIND = 'chat';
/** Time after a request's timeout within which its owner must commit an outcome, in ms. */
const OWNER_MARGIN_MS = 30_000;

/** Options of a ChatService. @public */
export interface ChatServiceOptions extends ChatDependencies {
  readonly entryName: string;
  readonly timeouts: EntryTimeouts;
  readonly planner?: AnswerPlannerName;
}

/** Commits the bill of a complete answer before its terminal frame is sent. */
type AnswerCommit = (
  answer: PlannedAnswer,
  text: string,
  last: AnswerFrame,
) => Promise<void>;

/**
 * Serves `POST /v1/chat/completions`: admits the request, then plans, delivers and bills the
 * answer. CONTEXT.md lists the file of each step.
 *
 * @public
 */
export class ChatService {
  private readonly billing: ChatBilling;

  constructor(private readonly options: ChatServiceOptions) {
    this.billing = new ChatBilling(options);
  }

  /** Serves one request. A thrown error is sent as the response. */
  async serve(exchange: HttpExchange): Promise<void> {
    const {configuration, metrics} = this.options;
    const customer = authenticateCustomer(
      exchange.request.headers,
      configuration.get(),
    );
    const chat = parseChatRequest(await exchange.readJson(MAX_BODY_BYTES));
    const routed = this.buildRoutedRequest(exchange, customer, chat);
    const labels = {customer: customer.customer, kind: routed.kind};
    const answerLabels = {version: 'none', outcome: 'ok'};
    try {
      listPermittedVersions(routed, configuration.get());
      await this.serveRouted(exchange, chat, routed, answerLabels);
    } catch (error) {
      answerLabels.outcome = toSycamoreheadError(error).kind;
      throw error;
    } finally {
      metrics.answers.inc({...labels, ...answerLabels});
      const seconds = (performance.now() - exchange.startedAt) / 1_000;
      metrics.duration.observe(labels, seconds);
    }
  }

  private async serveRouted(
    exchange: HttpExchange,
    chat: ChatRequest,
    routed: RoutedRequest,
    answerLabels: {version: string},
  ): Promise<void> {
    const key = exchange.readKeyHeader('Idempotency-Key');
    const hasIdempotencyKey = key !== undefined;
    const {customer} = routed.customer;
    // A caller with an idempotency key may retry for the answer, so the work continues for it.
    const cancellation = new TaskCancellation(exchange, {
      answerMs: this.options.timeouts.answerMs,
      cancelsOnDisconnect: !hasIdempotencyKey,
    });
    const task: ChatTask = {
      exchange,
      chat,
      routed,
      requestKey: `${customer}/models/${key ?? routed.requestId}`,
      hasIdempotencyKey,
      signal: cancellation.signal,
    };
    try {
      await (hasIdempotencyKey
        ? this.runWithKey(task, answerLabels)
        : this.runWithoutKey(task, answerLabels));
    } finally {
      cancellation.stop();
    }
  }

  private async runWithKey(
    task: ChatTask,
    answerLabels: {version: string},
  ): Promise<void> {
    const {requestKey, routed, chat, exchange} = task;
    const idempotentRequest = new IdempotentRequest(this.options, {
      requestKey,
      bodyDigest: computeDigest(chat),
      owner: `${this.options.entryName}/${routed.requestId}`,
      isRepeatable: true,
      ownerLimitMs: this.options.timeouts.answerMs + OWNER_MARGIN_MS,
    });
    const stored = await idempotentRequest.begin();
    if (stored) {
      exchange.sendStoredResponse(stored);
      exchange.logReleased(requestKey, true);
      return;
    }
    try {
      await this.runAdmitted(task, answerLabels, async (answer, text, last) => {
        const bill = this.billing.compute(task, answer);
        const {requestId} = routed;
        const {stream} = chat;
        await idempotentRequest.complete(
          encodeStoredResponse({requestId, answer, text, last, stream}),
          bill,
        );
        this.billing.count(bill);
      });
    } catch (thrown) {
      throw await idempotentRequest.fail(thrown);
    }
  }

  private async runWithoutKey(
    task: ChatTask,
    answerLabels: {version: string},
  ): Promise<void> {
    this.options.commits.ensureCapacity();
    let planned: PlannedAnswer | undefined;
    let isBilled = false;
    const record = async (answer: PlannedAnswer) => {
      isBilled = true;
      await this.billing.record(task, answer);
    };
    try {
      await this.runAdmitted(task, answerLabels, record, answer => {
        planned = answer;
      });
    } catch (error) {
      const isDisconnected = toSycamoreheadError(error).kind === 'caller_gone';
      // The tokens sent before the caller disconnected are billed like a complete answer, once.
      if (
        isDisconnected &&
        !isBilled &&
        planned &&
        planned.listCharges().length > 0
      ) {
        await record(planned);
      }
      throw error;
    }
  }

  private async runAdmitted(
    task: ChatTask,
    answerLabels: {version: string},
    commit: AnswerCommit,
    onPlanned?: (answer: PlannedAnswer) => void,
  ): Promise<void> {
    const {router, planner, timeouts} = this.options;
    const ticket = await router.admit(task.routed);
    try {
      if (task.signal.aborted) throw createNotRunError(task.signal.reason);
      const plan = ANSWER_PLANNERS[planner ?? 'single_version'];
      const answer = await plan(this.options, task);
      onPlanned?.(answer);
      answerLabels.version = formatVersionKey(answer.version);
      task.exchange.setOrigin(answer.version, answer.revision);
      const delivery = new AnswerDelivery(task, answer, timeouts.callerStallMs);
      delivery.observeFirstToken(() => {
        answerLabels.version = formatVersionKey(answer.version);
        this.observeFirstToken(task);
      });
      await delivery.send(async (text, last) => {
        await commit(answer, text, last);
        const {version, revision} = answer;
        const {routed} = task;
        this.options.feedback?.observeAnswer({routed, version, revision, text});
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
    this.options.metrics.firstToken.observe(
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
        exchange.startedAt +
        readDeadlineMs(chat, this.options.timeouts.answerMs),
    };
  }
}

/** Creates the error of an abort that occurred before anything was dispatched. */
function createNotRunError(reason: unknown): SycamoreheadError {
  const {kind, message} = toSycamoreheadError(reason);
  return new SycamoreheadError(kind, message, {ran: 'no'});
}
