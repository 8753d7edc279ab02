import {
  StoredResponse,
  SycamoreheadError,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {
  BackendServerDirectory,
  KnownServer,
} from '@sycamorehead/membership';
import {createLogger} from '@sycamorehead/telemetry';
import type {BackendClient, ServiceResponse} from './BackendClient.js';
import type {ConfigurationManager} from './ConfigurationManager.js';
import {findServiceCall} from './findServiceCall.js';
import type {ServiceTask} from './ServiceTask.js';

const log = createLogger('services');

const MAX_RESPONSE_BYTES = 1024 * 1024;
const UNAVAILABLE_STATUS = 503;

/** Dependencies of a ServiceDispatcher. @internal */
export interface ServiceDispatcherDependencies {
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
  readonly directory: BackendServerDirectory;
}

/**
 * Sends calls to the replicas of plain services in round-robin order. A failed call is retried on
 * another replica if it provably was not run, or if it is repeatable.
 *
 * @internal
 */
export class ServiceDispatcher {
  static readonly MAX_ATTEMPTS = 3;
  private nextIndex = 0;

  constructor(private readonly dependencies: ServiceDispatcherDependencies) {}

  /**
   * Runs a call.
   *
   * @throws SycamoreheadError with `ran: 'no'` only if no replica can have run it.
   */
  async dispatch(task: ServiceTask): Promise<StoredResponse> {
    const tried = new Set<string>();
    let hasRun = false;
    for (;;) {
      try {
        return await this.runAttempt(task, tried, hasRun);
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        hasRun ||= error.ran !== 'no';
        const isRetryable = error.ran === 'no' || task.call.repeatable;
        const isFinal =
          error.kind !== 'backend_failed' ||
          tried.size >= ServiceDispatcher.MAX_ATTEMPTS;
        if (isFinal || !isRetryable) throw markRan(error, hasRun);
        log('service_attempt_failed', {
          request: task.exchange.requestId,
          service: task.service,
          error: error.message,
        });
      }
    }
  }

  private async runAttempt(
    task: ServiceTask,
    tried: Set<string>,
    hasRun: boolean,
  ): Promise<StoredResponse> {
    const {exchange, customer, service, path, call} = task;
    // Checked at each dispatch, because the configuration may have changed since the first check.
    const {repeatable} = findServiceCall(
      this.dependencies.configuration.get(),
      customer.customer,
      {method: call.method, service, path},
    );
    if (hasRun && !repeatable) {
      throw new SycamoreheadError(
        'outcome_unknown',
        'the call may have run and may no longer be repeated',
      );
    }
    const replica = this.chooseReplica(service, tried);
    tried.add(replica.announcement.id);
    const {status, contentType, body} =
      await this.dependencies.backends.callService({
        url: `${replica.announcement.address}${path}${exchange.url.search}`,
        method: call.method,
        headers: buildHeaders(task),
        body: task.body.length > 0 ? task.body : undefined,
        maxResponseBytes: MAX_RESPONSE_BYTES,
        isRepeatable: call.repeatable && repeatable,
      });
    if (isRefusal({status, contentType, body})) {
      throw new SycamoreheadError('backend_failed', 'the service refused', {
        ran: 'no',
      });
    }
    return {status, contentType, body: body.toString('base64')};
  }

  private chooseReplica(service: string, tried: Set<string>): KnownServer {
    const replicas = this.dependencies.directory
      .listReplicas(service)
      .filter(({announcement}) => !tried.has(announcement.id));
    this.nextIndex += 1;
    const replica = replicas[this.nextIndex % Math.max(replicas.length, 1)];
    if (replica) return replica;
    throw new SycamoreheadError(
      'no_backend_server',
      `no replica of service ${service} is ready`,
    );
  }
}

/** Returns whether the service itself reports that it did not run the call. */
function isRefusal({status, body}: ServiceResponse): boolean {
  if (status !== UNAVAILABLE_STATUS) return false;
  try {
    const {error} = JSON.parse(body.toString('utf8')) as {
      error?: {ran?: unknown};
    };
    return error?.ran === 'no';
  } catch {
    return false;
  }
}

function markRan(error: SycamoreheadError, hasRun: boolean): SycamoreheadError {
  if (!hasRun || error.ran !== 'no') return error;
  return new SycamoreheadError(error.kind, error.message, {
    ran: 'unknown',
    cause: error,
  });
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
