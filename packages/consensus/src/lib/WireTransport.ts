import {SycamoreheadError} from '@sycamorehead/schema';
import type {MethodTable} from '@sycamorehead/wire';
import type {
  ConsensusRequest,
  ConsensusTransport,
  MemberIdentity,
  ReplyTo,
} from './consensusMessages.js';
import type {LinkPool} from './LinkPool.js';
import type {RaftNode} from './RaftNode.js';

const REQUEST_METHOD = 'consensus.request';
const IDENTIFY_METHOD = 'consensus.identify';
const IDENTIFY_TIMEOUT_MS = 1_000;

/**
 * Sends consensus requests to other members over peer links. Requests that carry entries or snapshots
 * have links of their own, so that none of the others waits behind them.
 *
 * @public
 */
export class WireTransport implements ConsensusTransport {
  constructor(
    private readonly links: LinkPool,
    private readonly bulkLinks = links,
  ) {}

  call<Request extends ConsensusRequest>(
    address: string,
    request: Request,
    timeoutMs: number,
  ): Promise<ReplyTo<Request>> {
    const links = isBulk(request) ? this.bulkLinks : this.links;
    return links.request(address, REQUEST_METHOD, request, timeoutMs);
  }

  readIdentity(address: string, shard: number): Promise<MemberIdentity> {
    const params = {shard};
    return this.links.request(
      address,
      IDENTIFY_METHOD,
      params,
      IDENTIFY_TIMEOUT_MS,
    );
  }
}

function isBulk(request: ConsensusRequest): boolean {
  if (request.type === 'append') return request.entries.length > 0;
  return request.type === 'snapshot';
}

/**
 * Creates the methods that an instance serves to the other members of its shards. `listNodes` is
 * called for each message, since a node may be replaced while the process runs.
 *
 * @example
 * ```ts
 * new WireServer({host, port, peerKey, methods: createConsensusMethods(() => [node])});
 * ```
 * @public
 */
export function createConsensusMethods(
  listNodes: () => readonly RaftNode[],
): MethodTable {
  const findNode = (shard: number) => {
    const node = listNodes().find(({shard: own}) => own === shard);
    if (node) return node;
    throw new SycamoreheadError('not_found', `shard ${shard} is not here`);
  };
  return {
    [REQUEST_METHOD]: (request: ConsensusRequest) =>
      findNode(request.shard).receive(request),
    [IDENTIFY_METHOD]: ({shard}: {shard: number}) =>
      findNode(shard).getIdentity(),
  };
}
