import {
  Bill,
  ControlApi,
  CustomerDeclaration,
  StoredResponse,
  SycamoreheadError,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {BackendServerDirectory} from '@sycamorehead/membership';
import type {EntryMetrics} from '@sycamorehead/telemetry';
import {authenticateCustomer} from './authenticateCustomer.js';
import type {BackendClient} from './BackendClient.js';
import type {CommitQueue} from './CommitQueue.js';
import type {ConfigurationManager} from './ConfigurationManager.js';
import {digestServiceCall} from './digestServiceCall.js';
import {findServiceCall, splitServicePath} from './findServiceCall.js';
import type {HttpExchange} from './HttpExchange.js';
import {IdempotentRequest} from './IdempotentRequest.js';
import {ServiceDispatcher} from './ServiceDispatcher.js';
import type {ServiceTask} from './ServiceTask.js';

const MAX_BODY_BYTES = 1024 * 1024;
/** Time after the timeouts of all attempts within which an owner must commit an outcome, in ms. */
const OWNER_MARGIN_MS = 30_000;
const FIRST_SERVER_ERROR = 500;

/** Options of a PlainServiceProxy. @public */
export interface PlainServiceOptions {
  readonly entryName: string;
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
  readonly control: ControlApi;
  readonly commits: CommitQueue;
  readonly directory: BackendServerDirectory;
  readonly metrics: EntryMetrics;
  /** Time allowed for one call, in milliseconds. */
  readonly serviceMs: number;
}

/**
 * Serves `ANY /services/{service}/{path…}`. A call that may not be repeated runs at most once: its
 * intent is committed before its first byte is sent, and its result together with its bill.
 *
 * @public
 */
export class PlainServiceProxy {
  private readonly dispatcher: ServiceDispatcher;

  constructor(private readonly options: PlainServiceOptions) {
    this.dispatcher = new ServiceDispatcher(options);
  }

  /** Serves one call. A thrown error is sent as the response. */
  async serve(exchange: HttpExchange): Promise<void> {
    const customer = authenticateCustomer(
      exchange.request.headers,
      this.options.configuration.get(),
    );
    const [service, path] = splitServicePath(exchange.url.pathname);
    const labels = {customer: customer.customer, kind: 'unknown_service'};
    let outcome = 'ok';
    try {
      const task = await this.buildTask(exchange, customer, service, path);
      // Only declared services become label values, so that callers cannot add an unbounded number.
      labels.kind = service;
      await this.run(task);
    } catch (error) {
      outcome = toSycamoreheadError(error).kind;
      throw error;
    } finally {
      const {metrics} = this.options;
      metrics.answers.inc({...labels, version: labels.kind, outcome});
      const seconds = (performance.now() - exchange.startedAt) / 1_000;
      metrics.duration.observe(labels, seconds);
    }
  }

  private async buildTask(
    exchange: HttpExchange,
    customer: CustomerDeclaration,
    service: string,
    path: string,
  ): Promise<ServiceTask> {
    const configuration = this.options.configuration.get();
    const call = findServiceCall(configuration, customer.customer, {
      method: exchange.request.method ?? '',
      service,
      path,
    });
    const idempotencyKey = exchange.readKeyHeader('Idempotency-Key');
    if (!call.repeatable && !idempotencyKey) {
      throw new SycamoreheadError(
        'idempotency_key_required',
        `Idempotency-Key: required for ${call.method} ${path}`,
        {field: 'Idempotency-Key'},
      );
    }
    const key = idempotencyKey ?? exchange.requestId;
    return {
      exchange,
      customer,
      service,
      path,
      call,
      body: await exchange.readBody(MAX_BODY_BYTES),
      revision: configuration.revision,
      idempotencyKey,
      requestKey: `${customer.customer}/services/${service}/${key}`,
    };
  }

  private async run(task: ServiceTask): Promise<void> {
    if (task.idempotencyKey) {
      await this.runWithKey(task);
      return;
    }
    this.options.commits.ensureCapacity();
    const answer = await this.dispatcher.dispatch(task);
    const bill = buildBill(task, answer);
    const {isNew} = await this.options.commits.commit(bill.requestKey, () =>
      this.options.control.recordBill(bill),
    );
    if (isNew) this.countBill(bill);
    sendAnswer(task, answer);
  }

  private async runWithKey(task: ServiceTask): Promise<void> {
    const {requestKey, exchange, call} = task;
    const idempotentRequest = new IdempotentRequest(this.options, {
      requestKey,
      bodyDigest: digestTask(task),
      owner: `${this.options.entryName}/${exchange.requestId}`,
      isRepeatable: call.repeatable,
      ownerLimitMs:
        ServiceDispatcher.MAX_ATTEMPTS * this.options.serviceMs +
        OWNER_MARGIN_MS,
    });
    const stored = await idempotentRequest.begin();
    if (stored) {
      exchange.sendStoredResponse(stored);
      exchange.logReleased(requestKey, true);
      return;
    }
    let answer: StoredResponse;
    try {
      answer = await this.dispatcher.dispatch(task);
    } catch (thrown) {
      throw await idempotentRequest.fail(thrown);
    }
    const bill = buildBill(task, answer);
    await idempotentRequest.complete(answer, bill);
    this.countBill(bill);
    sendAnswer(task, answer);
  }

  private countBill({customer, item, amountMicros}: Bill): void {
    this.options.metrics.billed.inc({customer, version: item}, amountMicros);
  }
}

/** Builds the bill of an answered call. A call that failed in the service itself costs nothing. */
function buildBill(task: ServiceTask, answer: StoredResponse): Bill {
  const isFailed = answer.status >= FIRST_SERVER_ERROR;
  return {
    requestKey: task.requestKey,
    requestId: task.exchange.requestId,
    customer: task.customer.customer,
    item: task.service,
    amountMicros: isFailed ? 0 : task.call.priceMicros,
    revision: task.revision,
  };
}

function digestTask({exchange, service, path, body, call}: ServiceTask) {
  const {search} = exchange.url;
  return digestServiceCall([call.method, service, path, search], body);
}

function sendAnswer(
  {exchange, requestKey}: ServiceTask,
  answer: StoredResponse,
): void {
  const {status, contentType, body} = answer;
  exchange.logReleased(requestKey);
  exchange.sendBody(status, contentType, Buffer.from(body, 'base64'));
}
