import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {
  JSONRPCErrorException,
  JSONRPCServer,
  isJSONRPCRequest,
} from 'json-rpc-2.0';
import {readBounded, startListening} from '@sycamorehead/wire';
import {
  SycamoreheadError,
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
}

type OperatorHandler = (params: Record<string, unknown>) => Promise<unknown>;

/**
 * Operators' API: JSON-RPC 2.0 over `POST /rpc`, with a bearer token.
 *
 * @public
 */
export class OperatorServer {
  private readonly server: Server;
  private readonly rpc = new JSONRPCServer({errorListener: () => {}});

  constructor(private readonly options: OperatorServerOptions) {
    const handle = (request: IncomingMessage, response: ServerResponse) =>
      void this.answer(request, response);
    const {tls} = options;
    this.server = tls ? createTlsServer(tls, handle) : createServer(handle);
    // Otherwise node:http drops headers beyond a number without an error.
    this.server.maxHeadersCount = 0;
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
      this.checkRequest(request);
      const call = JSON.parse(await readBody(request));
      if (!isJSONRPCRequest(call)) {
        throw new SycamoreheadError(
          'malformed_request',
          'expected one JSON-RPC 2.0 request',
        );
      }
      sendJson(response, 200, await this.rpc.receive(call));
    } catch (thrown) {
      const error =
        thrown instanceof SyntaxError
          ? new SycamoreheadError('malformed_request', 'body is not JSON')
          : toSycamoreheadError(thrown);
      sendJson(response, 400, {error: error.toBody()});
    }
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

async function readBody(request: IncomingMessage): Promise<string> {
  const body = await readBounded(
    request,
    MAX_BODY_BYTES,
    () =>
      new SycamoreheadError(
        'body_too_large',
        `expected at most ${MAX_BODY_BYTES} bytes`,
      ),
  );
  return body.toString('utf8');
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
