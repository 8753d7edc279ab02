import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {
  JSONRPCErrorException,
  JSONRPCServer,
  isJSONRPCRequest,
} from 'json-rpc-2.0';
import {ClientLimits, readHeldBody, startListening} from '@sycamorehead/wire';
import {
  ErrorKind,
  SycamoreheadError,
  getErrorResponse,
  isSameKey,
  ReleaseNote,
  releaseNoteSchema,
  toSycamoreheadError,
  validateInput,
} from '@sycamorehead/schema';
import type {TlsMaterial} from '@sycamorehead/telemetry';
import type {ControlNode} from './ControlNode.js';
import type {LeaderForwarder, LeaderOperation} from './LeaderForwarder.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const APPLICATION_ERROR = -32000;

/** Settings of an OperatorServer. @public */
export interface OperatorServerOptions {
  readonly node: ControlNode;
  /** Forwards calls to the leader if this instance does not lead. */
  readonly forwarder?: LeaderForwarder;
  readonly host: string;
  readonly port: number;
  readonly operatorToken: string;
  readonly tls?: TlsMaterial;
  /** What operators' connections may cost; by default what the machine allows. */
  readonly clientLimits?: ClientLimits;
}

type OperatorHandler = (params: Record<string, unknown>) => Promise<unknown>;

/**
 * Operators' API: JSON-RPC 2.0 over `POST /rpc`, with a bearer token.
 *
 * @public
 */
export class OperatorServer {
  private readonly server: Server;
  private readonly clientLimits: ClientLimits;
  private readonly rpc = new JSONRPCServer({errorListener: () => {}});

  constructor(private readonly options: OperatorServerOptions) {
    const handle = (request: IncomingMessage, response: ServerResponse) =>
      void this.answer(request, response);
    const {tls} = options;
    this.server = tls ? createTlsServer(tls, handle) : createServer(handle);
    // Otherwise node:http drops headers beyond a number without an error.
    this.server.maxHeadersCount = 0;
    this.clientLimits = options.clientLimits ?? new ClientLimits();
    this.clientLimits.limitServer(this.server);
    for (const [name, handler] of Object.entries(this.getHandlers())) {
      const wrapped = this.wrapHandler(name, handler);
      this.rpc.addMethod(name, params => runHandler(wrapped, params));
    }
  }

  /** Starts to listen and returns the port. */
  start(): Promise<number> {
    const {host, port} = this.options;
    return startListening(this.server, host, port);
  }

  /** Finishes open calls and stops. */
  async stop(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Forwards every method except `status`, which reads this instance's own state. */
  private wrapHandler(name: string, handler: OperatorHandler): OperatorHandler {
    const {forwarder} = this.options;
    if (!forwarder || name === 'status') return handler;
    const operation = `operator.${name}`;
    forwarder.add(operation, handler as LeaderOperation);
    return params => forwarder.run(operation, params);
  }

  private getHandlers(): Record<string, OperatorHandler> {
    const {node} = this.options;
    return {
      publish: params => node.publish(parseNote(params.note)),
      inForce: () => node.readInForce(),
      status: async () => node.readStatus(),
      rollouts: () => node.listRollouts(),
      ledger: () => node.checkLedger(),
      addMember: params =>
        node.addMember(
          readName(params, 'instance'),
          readName(params, 'address'),
        ),
      removeMember: params => node.removeMember(readName(params, 'name')),
      members: async () => node.readMembers(),
      bills: params =>
        node.listBills(
          typeof params.customer === 'string' ? params.customer : undefined,
        ),
    };
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      this.clientLimits.heads.check(request);
      this.checkRequest(request);
      const body = await readHeldBody(request, response, {
        held: this.clientLimits.bodies,
        maxBytes: MAX_BODY_BYTES,
      });
      const call = JSON.parse(body.toString('utf8'));
      if (!isJSONRPCRequest(call)) {
        throw new SycamoreheadError(
          'malformed_request',
          'expected one JSON-RPC 2.0 request',
        );
      }
      this.sendJson(response, 200, await this.rpc.receive(call));
    } catch (thrown) {
      const error =
        thrown instanceof SyntaxError
          ? new SycamoreheadError('malformed_request', 'body is not JSON')
          : toSycamoreheadError(thrown);
      this.sendJson(response, getFailureStatus(error.kind), {
        error: error.toBody(),
      });
    }
  }

  private sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
  ): void {
    if (response.destroyed) return;
    const text = JSON.stringify(body);
    response.writeHead(status, {'content-type': 'application/json'});
    this.clientLimits.answers.add(response, Buffer.byteLength(text));
    response.end(text);
  }

  private checkRequest(request: IncomingMessage): void {
    if (request.url !== '/rpc') {
      throw new SycamoreheadError('not_found', `${request.url}: expected /rpc`);
    }
    if (request.method !== 'POST') {
      throw new SycamoreheadError('method_not_allowed', 'expected POST');
    }
    const token = /^Bearer (.+)$/.exec(request.headers.authorization ?? '');
    if (!token?.[1] || !isSameKey(token[1], this.options.operatorToken)) {
      throw new SycamoreheadError('unauthenticated', 'wrong operator token');
    }
  }
}

function readName(params: Record<string, unknown>, field: string): string {
  const value = params[field];
  if (typeof value === 'string' && value !== '') return value;
  throw new SycamoreheadError(
    'malformed_request',
    `${field}: expected a name`,
    {
      field,
    },
  );
}

function parseNote(value: unknown): ReleaseNote {
  return validateInput(releaseNoteSchema, value, 'note_invalid', 'note');
}

async function runHandler(
  handler: OperatorHandler,
  params: unknown,
): Promise<unknown> {
  try {
    return await handler((params ?? {}) as Record<string, unknown>);
  } catch (error) {
    const body = toSycamoreheadError(error).toBody();
    throw new JSONRPCErrorException(body.message, APPLICATION_ERROR, body);
  }
}

/** Returns the status of a call that failed before its method ran. */
function getFailureStatus(kind: ErrorKind): number {
  const {status} = getErrorResponse(kind);
  return status === 408 || status === 503 ? status : 400;
}
