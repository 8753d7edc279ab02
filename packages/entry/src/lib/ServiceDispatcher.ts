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

const MAX_ANSWER_BYTES = 1024 * 1024;
const UNAVAILABLE = 503;

/** What a ServiceDispatcher works with. @internal */
export interface ServiceDispatcherDependencies {
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
  readonly directory: BackendServerDirectory;
}

/**
 * Sends calls to the replicas of plain services, in turn. Another replica is tried where the call
 * provably was not run, or where it may run again.
 *
 * @internal
 */
export class ServiceDispatcher {
  static readonly MAX_ATTEMPTS = 3;
  private turn = 0;

  constructor(private readonly parts: ServiceDispatcherDependencies) {}

  /**
   * Runs a call.
   *
   * @throws SycamoreheadError with `ran: 'no'` only where no replica can have run it.
   */
  async dispatch(task: ServiceTask): Promise<StoredResponse> {
    const tried = new Set<string>();
    let hasRun = false;
    for (;;) {
      try {
        return await this.runAttempt(task, tried);
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        hasRun ||= error.ran !== 'no';
        const mayTryAgain = error.ran === 'no' || task.call.repeatable;
        const isOver =
          error.kind !== 'backend_failed' ||
          tried.size >= ServiceDispatcher.MAX_ATTEMPTS;
        if (isOver || !mayTryAgain) throw markRan(error, hasRun);
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
  ): Promise<StoredResponse> {
    const {exchange, customer, service, path, call} = task;
    // Checked at each dispatch: the call may have waited since it was admitted.
    findServiceCall(this.parts.configuration.get(), customer.customer, {
      method: call.method,
      service,
      path,
    });
    const replica = this.chooseReplica(service, tried);
    tried.add(replica.announcement.id);
    const {status, contentType, body} = await this.parts.backends.callService({
      url: `${replica.announcement.address}${path}${exchange.url.search}`,
      method: call.method,
      headers: buildHeaders(task),
      body: task.body.length > 0 ? task.body : undefined,
      maxResponseBytes: MAX_ANSWER_BYTES,
      isRepeatable: call.repeatable,
    });
    if (isRefusal({status, contentType, body})) {
      throw new SycamoreheadError('backend_failed', 'the service refused', {
        ran: 'no',
      });
    }
    return {status, contentType, body: body.toString('base64')};
  }

  private chooseReplica(service: string, tried: Set<string>): KnownServer {
    const replicas = this.parts.directory
      .listReplicas(service)
      .filter(({announcement}) => !tried.has(announcement.id));
    this.turn += 1;
    const replica = replicas[this.turn % Math.max(replicas.length, 1)];
    if (replica) return replica;
    throw new SycamoreheadError(
      'no_backend_server',
      `no replica of service ${service} is ready`,
    );
  }
}

/** Whether the service itself says that it did not run the call. */
function isRefusal({status, body}: ServiceResponse): boolean {
  if (status !== UNAVAILABLE) return false;
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
