import {SycamoreheadError} from '@sycamorehead/schema';
import type {
  ConsensusRequest,
  ConsensusTransport,
  MemberIdentity,
  ReplyTo,
} from '../lib/consensusMessages.js';

/** Who answers at an address. @internal */
export interface FakeEndpoint {
  receive<Request extends ConsensusRequest>(
    request: Request,
  ): Promise<ReplyTo<Request>>;
  getIdentity(): MemberIdentity;
}

/** What the network does to messages. @internal */
export interface NetworkFaults {
  readonly dropRate: number;
  readonly duplicateRate: number;
  readonly minDelayMs: number;
  /** Random delays reorder messages. */
  readonly maxDelayMs: number;
}

/** A network that only takes a millisecond. @internal */
export const NO_FAULTS: NetworkFaults = {
  dropRate: 0,
  duplicateRate: 0,
  minDelayMs: 1,
  maxDelayMs: 1,
};

const IDENTIFY_TIMEOUT_MS = 500;

/**
 * Carries requests and replies between endpoints in one process, each way with faults of its own.
 *
 * @internal
 */
export class FakeNetwork {
  faults: NetworkFaults = NO_FAULTS;
  readonly endpoints = new Map<string, FakeEndpoint>();
  private readonly cuts = new Set<string>();

  constructor(private readonly random: () => number) {}

  /** Cuts one direction. */
  dropLink(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Cuts an address off, both ways, from all others. */
  dropLinksOf(address: string): void {
    for (const other of this.endpoints.keys()) {
      this.dropLink(address, other);
      this.dropLink(other, address);
    }
  }

  /** Ends every cut. */
  restoreLinks(): void {
    this.cuts.clear();
  }

  /** Carries one message, perhaps never and perhaps twice. */
  forward(from: string, to: string, deliver: () => void): void {
    const copies = this.random() < this.faults.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.random() < this.faults.dropRate) continue;
      const {minDelayMs, maxDelayMs} = this.faults;
      const spreadMs = maxDelayMs - minDelayMs;
      const delay = minDelayMs + Math.round(this.random() * spreadMs);
      setTimeout(() => {
        if (!this.cuts.has(`${from}>${to}`)) deliver();
      }, delay);
    }
  }

  /** Calls a function at another address and carries its outcome back. */
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
      const answer = (settle: () => void) =>
        this.forward(to, from, () => {
          clearTimeout(timer);
          settle();
        });
      this.forward(from, to, () => {
        serve().then(
          result => answer(() => resolve(copy(result))),
          (error: unknown) => answer(() => reject(error)),
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
