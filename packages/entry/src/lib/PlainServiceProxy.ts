import {
  BeginResult,
  Bill,
  Configuration,
  ControlApi,
  CustomerDeclaration,
  ServiceCall,
  StoredAnswer,
  SycamoreheadError,
  computeDigest,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {BackendServerDirectory} from '@sycamorehead/membership';
import type {EntryMetrics} from '@sycamorehead/telemetry';
import {authenticateCustomer} from './authenticateCustomer.js';
import type {BackendClient} from './BackendClient.js';
import type {ConfigurationManager} from './ConfigurationManager.js';
import type {Exchange} from './Exchange.js';

const MAX_BODY_BYTES = 1024 * 1024;
const MAX_ANSWER_BYTES = 1024 * 1024;

/** What a PlainServiceProxy works with. @public */
export interface PlainServiceParts {
  readonly entryName: string;
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
  readonly control: ControlApi;
  readonly directory: BackendServerDirectory;
  readonly metrics: EntryMetrics;
}

/** One call on its way to a plain service. */
interface ServiceTask {
  readonly exchange: Exchange;
  readonly customer: CustomerDeclaration;
  readonly service: string;
  readonly path: string;
  readonly call: ServiceCall;
  readonly body: Buffer;
  readonly revision: number;
  readonly idempotencyKey?: string;
  readonly requestKey: string;
}

/** Answers to a second request with a key that is known. */
const REFUSALS = {
  in_progress: ['in_progress', 'a request with this key is being run'],
  outcome_unknown: ['outcome_unknown', 'whether the call ran is not known'],
  key_reused: [
    'idempotency_key_reused',
    'Idempotency-Key: used before with another request',
  ],
} as const;

/**
 * Serves `ANY /services/{service}/{path…}`. A call that may not be repeated runs at most once:
 * its intent is committed before its first byte leaves.
 *
 * @public
 */
export class PlainServiceProxy {
  private turn = 0;

  constructor(private readonly parts: PlainServiceParts) {}

  /** Serves one call; what it throws is the answer. */
  async serve(exchange: Exchange): Promise<void> {
    const configuration = this.parts.configuration.get();
    const customer = authenticateCustomer(
      exchange.request.headers,
      configuration,
    );
    const startedAt = performance.now();
    const [service, path] = splitPath(exchange.url.pathname);
    const labels = {customer: customer.customer, kind: service};
    let outcome = 'ok';
    try {
      const call = findCall(configuration, customer, service, path, exchange);
      const task = await buildTask(exchange, customer, service, path, call);
      const answer = await this.run({
        ...task,
        revision: configuration.revision,
      });
      sendAnswer(exchange, answer);
    } catch (error) {
      outcome = toSycamoreheadError(error).kind;
      throw error;
    } finally {
      this.parts.metrics.answers.inc({...labels, version: service, outcome});
      const seconds = (performance.now() - startedAt) / 1_000;
      this.parts.metrics.duration.observe(labels, seconds);
    }
  }

  private async run(task: ServiceTask): Promise<StoredAnswer> {
    if (!task.call.repeatable) return this.runOnce(task);
    const answer = await this.dispatch(task);
    await this.recordBill(task);
    return answer;
  }

  private async runOnce(task: ServiceTask): Promise<StoredAnswer> {
    const {control, entryName} = this.parts;
    const {requestKey} = task;
    const begun = await control.beginRequest({
      requestKey,
      bodyDigest: digestTask(task),
      owner: entryName,
    });
    if (begun.state !== 'begun') return this.answerKnown(task, begun);
    const {fencing} = begun;
    let answer: StoredAnswer;
    try {
      answer = await this.dispatch(task);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      const outcome = error.ran === 'no' ? 'not_run' : 'unknown';
      await control.finishRequest({requestKey, fencing, outcome});
      if (outcome === 'not_run') throw error;
      throw new SycamoreheadError('outcome_unknown', error.message, {
        cause: error,
      });
    }
    await control.finishRequest({
      requestKey,
      fencing,
      outcome: 'done',
      answer,
    });
    await this.recordBill(task);
    return answer;
  }

  private async answerKnown(
    task: ServiceTask,
    known: Exclude<BeginResult, {state: 'begun'}>,
  ): Promise<StoredAnswer> {
    if (known.state === 'done') {
      await this.recordBill(task);
      return known.answer;
    }
    const [kind, message] = REFUSALS[known.state];
    throw new SycamoreheadError(kind, message);
  }

  private async dispatch(task: ServiceTask): Promise<StoredAnswer> {
    // Checked again here: the call may have waited since it was admitted.
    findCall(
      this.parts.configuration.get(),
      task.customer,
      task.service,
      task.path,
      task.exchange,
    );
    const replicas = this.parts.directory.listReplicas(task.service);
    this.turn += 1;
    const replica = replicas[this.turn % Math.max(replicas.length, 1)];
    if (!replica) {
      throw new SycamoreheadError(
        'no_backend_server',
        `no replica of service ${task.service} is ready`,
      );
    }
    const {status, contentType, body} = await this.parts.backends.callService({
      url: `${replica.announcement.address}${task.path}${task.exchange.url.search}`,
      method: task.call.method,
      headers: buildHeaders(task),
      body: task.body.length > 0 ? task.body : undefined,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    return {status, contentType, body: body.toString('base64')};
  }

  private async recordBill(task: ServiceTask): Promise<void> {
    const bill: Bill = {
      requestKey: task.requestKey,
      customer: task.customer.customer,
      item: task.service,
      amountMicros: task.call.priceMicros,
      revision: task.revision,
    };
    const {isNew} = await this.parts.control.recordBill(bill);
    if (!isNew) return;
    this.parts.metrics.billed.inc(
      {customer: bill.customer, version: bill.item},
      bill.amountMicros,
    );
  }
}

function splitPath(pathname: string): [service: string, path: string] {
  const match = /^\/services\/([^/]+)(\/.*)?$/.exec(pathname);
  return [match?.[1] ?? '', match?.[2] ?? '/'];
}

function findCall(
  configuration: Configuration,
  customer: CustomerDeclaration,
  service: string,
  path: string,
  exchange: Exchange,
): ServiceCall {
  const declared = Object.hasOwn(configuration.services, service)
    ? configuration.services[service]
    : undefined;
  if (!declared) {
    throw new SycamoreheadError(
      'unknown_service',
      `service ${service} does not exist`,
    );
  }
  const permitted = configuration.customers[customer.customer];
  if (!permitted?.services.includes(service)) {
    throw new SycamoreheadError(
      'not_permitted',
      `customer ${customer.customer} may not use service ${service}`,
    );
  }
  const {method} = exchange.request;
  const call = declared.calls.find(
    entry => entry.method === method && path.startsWith(entry.path),
  );
  if (call) return call;
  throw new SycamoreheadError(
    'not_found',
    `service ${service} has no call ${method} ${path}`,
  );
}

async function buildTask(
  exchange: Exchange,
  customer: CustomerDeclaration,
  service: string,
  path: string,
  call: ServiceCall,
): Promise<Omit<ServiceTask, 'revision'>> {
  const idempotencyKey = exchange.readKeyHeader('Idempotency-Key');
  if (!call.repeatable && !idempotencyKey) {
    throw new SycamoreheadError(
      'idempotency_key_required',
      `Idempotency-Key: required for ${call.method} ${path}`,
      {field: 'Idempotency-Key'},
    );
  }
  const body = await exchange.readBody(MAX_BODY_BYTES);
  const key = idempotencyKey ?? exchange.requestId;
  const requestKey = `${customer.customer}/${service}/${key}`;
  return {
    exchange,
    customer,
    service,
    path,
    call,
    body,
    idempotencyKey,
    requestKey,
  };
}

function digestTask({exchange, service, path, body, call}: ServiceTask) {
  const {search} = exchange.url;
  const content = body.toString('base64');
  return computeDigest([call.method, service, path, search, content]);
}

function buildHeaders({
  exchange,
  idempotencyKey,
}: ServiceTask): Record<string, string> {
  const contentType = exchange.request.headers['content-type'];
  return {
    'x-request-id': exchange.requestId,
    ...(contentType && {'content-type': contentType}),
    ...(idempotencyKey && {'idempotency-key': idempotencyKey}),
  };
}

function sendAnswer(exchange: Exchange, answer: StoredAnswer): void {
  exchange.response.writeHead(answer.status, {
    'content-type': answer.contentType,
  });
  exchange.response.end(Buffer.from(answer.body, 'base64'));
}
