import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  StoredResponse,
  SycamoreheadError,
  VersionRef,
  formatVersionKey,
  getErrorResponse,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {ClientLimits, readHeldBody} from '@sycamorehead/wire';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('answers');

const MAX_KEY_LENGTH = 200;
/** Base of the URLs of requests, whose targets are paths. @internal */
export const TARGET_BASE = 'http://entry';

/** One caller's request with its response. @public */
export class HttpExchange {
  readonly requestId = `req-${randomUUID()}`;
  readonly startedAt = performance.now();
  readonly url: URL;
  /** Aborted once the caller has disconnected. */
  readonly callerDisconnected: AbortSignal;

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly clientLimits: ClientLimits,
  ) {
    this.url = new URL(request.url ?? '/', TARGET_BASE);
    const disconnection = new AbortController();
    this.callerDisconnected = disconnection.signal;
    response.on('close', () => {
      if (!response.writableFinished) disconnection.abort();
    });
    response.setHeader('Sycamorehead-Request-Id', this.requestId);
  }

  /**
   * Reads the whole body.
   *
   * @throws SycamoreheadError `body_too_large`, `request_timeout` or `overloaded`.
   */
  readBody(maxBytes: number): Promise<Buffer> {
    return readHeldBody(this.request, this.response, {
      held: this.clientLimits.bodies,
      maxBytes,
      field: 'body',
    });
  }

  /**
   * Reads the body as JSON.
   *
   * @throws SycamoreheadError `body_too_large` or `malformed_request`.
   */
  async readJson(maxBytes: number): Promise<unknown> {
    const body = await this.readBody(maxBytes);
    try {
      return JSON.parse(body.toString('utf8'));
    } catch (error) {
      throw new SycamoreheadError('malformed_request', 'body: expected JSON', {
        field: 'body',
        cause: error,
      });
    }
  }

  /**
   * Reads a key from a header.
   *
   * @throws SycamoreheadError `malformed_request` if it is too long.
   */
  readKeyHeader(name: string): string | undefined {
    const value = this.request.headers[name.toLowerCase()];
    if (value === undefined || value === '') return undefined;
    const text = String(value);
    if (text.length <= MAX_KEY_LENGTH) return text;
    throw new SycamoreheadError(
      'malformed_request',
      `${name}: expected at most ${MAX_KEY_LENGTH} characters`,
      {field: name},
    );
  }

  /** Sets the headers that name the version and revision of the answer. */
  setOrigin(version: VersionRef, revision: number): void {
    this.response.setHeader('Sycamorehead-Model', version.model);
    this.response.setHeader('Sycamorehead-Version', version.version);
    this.response.setHeader('Sycamorehead-Revision', revision);
  }

  /** Sets the header that names the earlier version to which the session is no longer pinned. */
  setEndedPin(endedPin: VersionRef | undefined): void {
    if (!endedPin) return;
    this.response.setHeader(
      'Sycamorehead-Session-Ended-Version',
      formatVersionKey(endedPin),
    );
  }

  /** Logs that a complete answer was sent, so that answers can be compared with the bills. */
  logReleased(requestKey: string, replayed?: boolean): void {
    log('answer_released', {
      request: this.requestId,
      request_key: requestKey,
      replayed,
    });
  }

  /** Sends a stored response again. */
  sendStoredResponse(stored: StoredResponse): void {
    const {origin, status, contentType, body} = stored;
    if (origin) this.setOrigin(origin.version, origin.revision);
    this.response.setHeader('Sycamorehead-Replayed', 'true');
    this.sendBody(status, contentType, Buffer.from(body, 'base64'));
  }

  /** Sends a complete response. */
  sendBody(status: number, contentType: string, body: Buffer): void {
    this.response.writeHead(status, {'content-type': contentType});
    this.clientLimits.answers.add(this.response, body.length);
    this.response.end(body);
  }

  /** Sends a complete JSON response. */
  sendJson(status: number, body: unknown): void {
    this.sendBody(
      status,
      'application/json',
      Buffer.from(JSON.stringify(body)),
    );
  }

  /** Sends an error as the response, or as the last event of a stream that has begun. */
  sendError(thrown: unknown): void {
    const error = toSycamoreheadError(thrown);
    const body = {error: error.toBody()};
    if (this.response.headersSent) {
      this.response.end(`data: ${JSON.stringify(body)}\n\n`);
      return;
    }
    if (error.retryAfterMs !== undefined) {
      this.response.setHeader(
        'Retry-After',
        Math.ceil(error.retryAfterMs / 1_000),
      );
    }
    // An unread body would otherwise be parsed as the connection's next request.
    if (!this.request.complete) this.response.setHeader('Connection', 'close');
    this.sendJson(getErrorResponse(error.kind).status, body);
  }
}
