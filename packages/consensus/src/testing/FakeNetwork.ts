import {SycamoreheadError} from '@sycamorehead/schema';
import type {
  ConsensusRequest,
  ConsensusTransport,
  MemberIdentity,
  ReplyTo,
} from '../lib/consensusMessages.js';

/** The receiver of requests at an address. @internal */
export interface FakeEndpoint {
  receive<Request extends ConsensusRequest>(
    request: Request,
  ): Promise<ReplyTo<Request>>;
  getIdentity(): MemberIdentity;
}

/** The faults that the network applies to messages. @internal */
export interface NetworkFaults {
  readonly dropRate: number;
  readonly duplicateRate: number;
  readonly minDelayMs: number;
  /** If it exceeds `minDelayMs`, delays are random and may reorder messages. */
  readonly maxDelayMs: number;
}

/** No faults: every message arrives after one millisecond. @internal */
export const NO_FAULTS: NetworkFaults = {
  dropRate: 0,
  duplicateRate: 0,
  minDelayMs: 1,
  maxDelayMs: 1,
};

const IDENTIFY_TIMEOUT_MS = 500;

/**
 * Carries requests and replies between endpoints in one process. Faults apply to each direction
 * separately.
 *
 * @internal
 */
export class FakeNetwork {
  faults: NetworkFaults = NO_FAULTS;
  readonly endpoints = new Map<string, FakeEndpoint>();
  private readonly droppedLinks = new Set<string>();

  constructor(private readonly random: () => number) {}

  /** Drops all messages from one address to another. */
  dropLink(from: string, to: string): void {
    this.droppedLinks.add(`${from}>${to}`);
  }

  /** Drops all messages between an address and all others, in both directions. */
  dropLinksOf(address: string): void {
    for (const other of this.endpoints.keys()) {
      this.dropLink(address, other);
      this.dropLink(other, address);
    }
  }

  /** Restores all links. */
  restoreLinks(): void {
    this.droppedLinks.clear();
  }

  /** Delivers one message, which the configured faults may delay, drop or duplicate. */
  forward(from: string, to: string, deliver: () => void): void {
    const copies = this.random() < this.faults.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.random() < this.faults.dropRate) continue;
      const {minDelayMs, maxDelayMs} = this.faults;
      const spreadMs = maxDelayMs - minDelayMs;
      const delay = minDelayMs + Math.round(this.random() * spreadMs);
      setTimeout(() => {
        if (!this.droppedLinks.has(`${from}>${to}`)) deliver();
      }, delay);
    }
  }

  /** Calls a function at another address and returns its outcome over the network. */
  call<Result>(
    from: string,
    to: string,
    timeoutMs: number,
    serve: () => Promise<Result>,
  ): Promise<Result> {
    return new Promise((resolve, reject) => {
      const fail = () =>
        reject(new SycamoreheadError('timeout', `${from} to ${to}`));
      const timer = setTimeout(fail, timeoutMs);
      const sendReply = (settle: () => void) =>
        this.forward(to, from, () => {
          clearTimeout(timer);
          settle();
        });
      this.forward(from, to, () => {
        serve().then(
          result => sendReply(() => resolve(copy(result))),
          (error: unknown) => sendReply(() => reject(error)),
        );
      });
    });
  }

  /** Creates the transport of one endpoint. */
  createTransport(from: string): ConsensusTransport {
    const find = (to: string) => {
      const endpoint = this.endpoints.get(to);
      if (endpoint) return endpoint;
      throw new SycamoreheadError('link_closed', `nothing listens on ${to}`);
    };
    return {
      call: (to, request, timeoutMs) => {
        const sent = copy(request);
        return this.call(from, to, timeoutMs, async () =>
          find(to).receive(copy(sent)),
        );
      },
      readIdentity: to =>
        this.call(from, to, IDENTIFY_TIMEOUT_MS, async () =>
          find(to).getIdentity(),
        ),
    };
  }
}

function copy<Value>(value: Value): Value {
  return value === undefined ? value : JSON.parse(JSON.stringify(value));
}
