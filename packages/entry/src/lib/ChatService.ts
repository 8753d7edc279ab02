import {once} from 'node:events';
import {createHash} from 'node:crypto';
import {
  ChatRequest,
  ConfiguredVersion,
  ControlApi,
  CustomerDeclaration,
  SycamoreheadError,
  VersionRef,
  estimatePromptTokens,
  formatVersionKey,
  parseChatRequest,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {RoutedRequest, listPermittedVersions} from '@sycamorehead/routing';
import type {EntryMetrics} from '@sycamorehead/telemetry';
import {
  AnswerFrame,
  AnswerSource,
  AnswerSourceParts,
  ensureDispatchable,
} from './AnswerSource.js';
import {authenticateCustomer} from './authenticateCustomer.js';
import {computeModelBill} from './computeBill.js';
import type {Exchange} from './Exchange.js';
import {explainDecision} from './explainDecision.js';
import type {VersionFeedback} from './feedback/VersionFeedback.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEADLINE_MS = 120_000;
const DEFAULT_KIND = 'chat';
/** Choices of a version before a request whose versions are withdrawn one by one is refused. */
const MAX_CHOICES = 3;

/** What a ChatService works with. @public */
export interface ChatServiceParts extends AnswerSourceParts {
  readonly control: ControlApi;
  readonly metrics: EntryMetrics;
  readonly feedback?: VersionFeedback;
  /** Key of the operators' debug header; where absent, it is ignored. */
  readonly debugKey?: string;
}

/** One admitted request on its way to an answer. */
interface ChatTask {
  readonly exchange: Exchange;
  readonly chat: ChatRequest;
  readonly routed: RoutedRequest;
  /** Key of the bill. */
  readonly requestKey: string;
  /** The version in force when the work was dispatched, for its price. */
  readonly version: ConfiguredVersion;
  readonly revision: number;
}

/**
 * Serves `POST /v1/chat/completions`.
 *
 * @public
 */
export class ChatService {
  constructor(private readonly parts: ChatServiceParts) {}

  /** Serves one request; what it throws is the answer. */
  async serve(exchange: Exchange): Promise<void> {
    const {configuration, router, metrics} = this.parts;
    const customer = authenticateCustomer(
      exchange.request.headers,
      configuration.get(),
    );
    const chat = parseChatRequest(await exchange.readJson(MAX_BODY_BYTES));
    const routed = buildRoutedRequest(exchange, customer, chat);
    let version = 'none';
    let outcome = 'ok';
    try {
      listPermittedVersions(routed, configuration.get());
      const ticket = await router.admit(routed);
      try {
        const task = await this.startTask(exchange, chat, routed);
        version = formatVersionKey(task.version);
        await (chat.stream ? this.sendStream(task) : this.sendWhole(task));
      } finally {
        ticket.release();
      }
    } catch (error) {
      outcome = toSycamoreheadError(error).kind;
      throw error;
    } finally {
      const labels = {customer: customer.customer, kind: routed.kind};
      metrics.answers.inc({...labels, version, outcome});
      const seconds = (performance.now() - exchange.startedAt) / 1_000;
      metrics.duration.observe(labels, seconds);
    }
  }

  private async startTask(
    exchange: Exchange,
    chat: ChatRequest,
    routed: RoutedRequest,
  ): Promise<ChatTask> {
    const version = await this.chooseDispatchable(exchange, routed);
    const {revision} = this.parts.configuration.get();
    checkContext(routed, version);
    exchange.setOrigin(version, revision);
    const key = exchange.readKeyHeader('Idempotency-Key') ?? routed.requestId;
    return {
      exchange,
      chat,
      routed,
      version,
      requestKey: `${routed.customer.customer}/${key}`,
      revision,
    };
  }

  /** Chooses a version, again where the chosen one is withdrawn meanwhile. */
  private async chooseDispatchable(
    exchange: Exchange,
    routed: RoutedRequest,
  ): Promise<ConfiguredVersion> {
    for (let choices = 1; ; choices++) {
      const ref = await this.resolveVersion(exchange, routed);
      try {
        return ensureDispatchable(this.parts.configuration.get(), routed, ref);
      } catch (thrown) {
        const {kind} = toSycamoreheadError(thrown);
        if (kind !== 'version_withdrawn' || choices >= MAX_CHOICES)
          throw thrown;
      }
    }
  }

  private async resolveVersion(
    exchange: Exchange,
    routed: RoutedRequest,
  ): Promise<VersionRef> {
    const {router, configuration, control, debugKey} = this.parts;
    const decision = router.chooseVersion(routed, configuration.get());
    explainDecision(exchange, decision, debugKey);
    const {choice} = decision;
    if (!routed.session) return choice;
    const {model, version} = await control.pinSession({
      session: routed.session,
      customer: routed.customer.customer,
      version: choice,
    });
    return {model, version};
  }

  private openSource(task: ChatTask): AnswerSource {
    const {model, version} = task.version;
    return new AnswerSource(
      this.parts,
      task.routed,
      task.chat,
      {model, version},
      task.exchange.callerGone,
    );
  }

  private async sendStream(task: ChatTask): Promise<void> {
    const {response} = task.exchange;
    let text = '';
    for await (const frame of this.openSource(task).stream()) {
      this.observeFirstToken(task);
      text += frame.text;
      // The bill is committed before the terminal frame is released.
      if (frame.finishReason) await this.commitBill(task, frame);
      if (!response.headersSent) {
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'cache-control': 'no-store',
        });
      }
      const chunk = JSON.stringify(formatChunk(task, frame));
      const isDrained = response.write(`data: ${chunk}\n\n`);
      if (!isDrained) {
        await once(response, 'drain', {signal: task.exchange.callerGone});
      }
    }
    response.end('data: [DONE]\n\n');
    this.parts.feedback?.observeAnswer({...task, text});
  }

  private async sendWhole(task: ChatTask): Promise<void> {
    let text = '';
    let last: AnswerFrame | undefined;
    for await (const frame of this.openSource(task).stream()) {
      this.observeFirstToken(task);
      text += frame.text;
      last = frame;
    }
    if (!last) throw new SycamoreheadError('incomplete_answer', 'no frames');
    await this.commitBill(task, last);
    task.exchange.sendJson(200, formatCompletion(task, text, last));
    this.parts.feedback?.observeAnswer({...task, text});
  }

  private async commitBill(task: ChatTask, last: AnswerFrame): Promise<void> {
    const usage = last.usage;
    if (!usage) {
      throw new SycamoreheadError(
        'incomplete_answer',
        'the terminal frame has no usage',
      );
    }
    const {customer} = task.routed.customer;
    const bill = computeModelBill(
      task.requestKey,
      customer,
      task.version,
      usage,
      task.revision,
    );
    const {isNew} = await this.parts.control.recordBill(bill);
    if (!isNew) return;
    this.parts.metrics.billed.inc(
      {customer, version: bill.item},
      bill.amountMicros,
    );
  }

  private observeFirstToken(task: ChatTask): void {
    if (task.exchange.response.headersSent || !task.chat.stream) return;
    const seconds = (performance.now() - task.exchange.startedAt) / 1_000;
    const {customer, kind} = task.routed;
    this.parts.metrics.firstToken.observe(
      {customer: customer.customer, kind},
      seconds,
    );
  }
}

function buildRoutedRequest(
  exchange: Exchange,
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
    deadlineAt: exchange.startedAt + DEADLINE_MS,
  };
}

function checkContext(routed: RoutedRequest, version: ConfiguredVersion): void {
  if (routed.promptTokens <= version.contextTokens) return;
  throw new SycamoreheadError(
    'context_too_long',
    `messages: expected at most ${version.contextTokens} tokens, found about ${routed.promptTokens}`,
    {field: 'messages'},
  );
}

function formatChunk(task: ChatTask, frame: AnswerFrame) {
  return {
    id: task.routed.requestId,
    object: 'chat.completion.chunk',
    model: task.version.model,
    choices: [
      {
        index: 0,
        delta: {content: frame.text},
        finish_reason: frame.finishReason,
      },
    ],
    ...(frame.usage && {usage: frame.usage}),
  };
}

function formatCompletion(task: ChatTask, text: string, last: AnswerFrame) {
  return {
    id: task.routed.requestId,
    object: 'chat.completion',
    model: task.version.model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: text},
        finish_reason: last.finishReason,
      },
    ],
    usage: last.usage,
  };
}
