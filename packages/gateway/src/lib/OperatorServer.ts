import {ENTRY_METHODS, RequestExplanation} from '@sycamorehead/fleet';
import {SycamoreheadError} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import {WireServer} from '@sycamorehead/wire';

/** Minimum time between two explanations, in milliseconds; each rates all servers of a service. */
const EXPLAIN_INTERVAL_MS = 500;
/** Maximum number of operators' links; strangers count until they have had their time for the peer key. */
const MAX_LINKS = 32;

/** Settings of an OperatorServer. @internal */
export interface OperatorServerOptions {
  readonly host: string;
  /** Port to listen on; 0 selects any free port. */
  readonly port: number;
  readonly peerKey: string;
  explain(question: unknown): Promise<RequestExplanation>;
}

/**
 * Answers operators' questions to one entry, on its peer port.
 *
 * @internal
 */
export class OperatorServer {
  private readonly server: WireServer;
  private explainedAt = -Infinity;

  constructor(private readonly options: OperatorServerOptions) {
    const {host, port, peerKey} = options;
    this.server = new WireServer({
      host,
      port,
      peerKey,
      maxLinks: MAX_LINKS,
      methods: {
        [ENTRY_METHODS.explain]: (question: unknown) => this.explain(question),
      },
    });
  }

  /** Starts to listen and returns the port; undefined if that fails, without which callers are served. */
  async start(): Promise<number | undefined> {
    try {
      return await this.server.start();
    } catch (error) {
      const {host, port} = this.options;
      writeDecision('operators_unserved', {
        address: `${host}:${port}`,
        error: String(error),
      });
      return undefined;
    }
  }

  stop(): Promise<void> {
    return this.server.stop();
  }

  private explain(question: unknown): Promise<RequestExplanation> {
    const now = performance.now();
    const leftMs = EXPLAIN_INTERVAL_MS - (now - this.explainedAt);
    if (leftMs > 0) {
      throw new SycamoreheadError('overloaded', 'one question at a time', {
        ran: 'no',
        retryAfterMs: Math.ceil(leftMs),
      });
    }
    this.explainedAt = now;
    return this.options.explain(question);
  }
}
