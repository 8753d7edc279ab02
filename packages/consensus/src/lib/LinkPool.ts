import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {
  ConnectOptions,
  LinkTimeouts,
  PeerLink,
  connectPeer,
  parsePeerAddress,
} from '@sycamorehead/wire';

/** Options of a LinkPool. @public */
export interface LinkPoolOptions {
  /** Name of this instance, sent to the peers. */
  readonly name: string;
  readonly peerKey: string;
  readonly timeouts?: LinkTimeouts;
  readonly tls?: ConnectOptions['tls'];
}

/**
 * A pool with one link to each peer, opened on first use. If a request times out, its link is
 * closed and the next request opens a new one, so that none waits on a dead connection.
 *
 * @public
 */
export class LinkPool {
  private readonly links = new Map<string, Promise<PeerLink>>();
  private isStopped = false;

  constructor(private readonly options: LinkPoolOptions) {}

  /**
   * Calls a method of the peer at an address.
   *
   * @throws SycamoreheadError the error of the peer, `timeout` or `link_closed`.
   * @example
   * ```ts
   * await pool.request('127.0.0.1:9081', 'consensus.identify', {shard: 0}, 500);
   * ```
   */
  async request<Result>(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result> {
    const opening = this.getLink(address);
    try {
      const link = await limitTime(opening, timeoutMs, method);
      return await link.request<Result>(method, params, timeoutMs);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      if (error.kind === 'timeout') {
        this.drop(address, opening, 'a request timed out');
      }
      throw error;
    }
  }

  /** Closes every link. */
  stop(): void {
    this.isStopped = true;
    for (const [address, opening] of this.links) {
      this.drop(address, opening, 'this instance stops');
    }
  }

  private getLink(address: string): Promise<PeerLink> {
    const known = this.links.get(address);
    if (known) return known;
    if (this.isStopped) {
      throw new SycamoreheadError('link_closed', 'this instance stops');
    }
    const opening = this.openLink(address);
    this.links.set(address, opening);
    return opening;
  }

  private async openLink(address: string): Promise<PeerLink> {
    const {name, peerKey, timeouts, tls} = this.options;
    try {
      const link = await connectPeer({
        address: parsePeerAddress(address),
        name,
        peerKey,
        timeouts,
        tls,
      });
      link.addCloseListener(() => this.links.delete(address));
      return link;
    } catch (error) {
      this.links.delete(address);
      throw error;
    }
  }

  private drop(
    address: string,
    opening: Promise<PeerLink>,
    reason: string,
  ): void {
    if (this.links.get(address) === opening) this.links.delete(address);
    opening.then(
      link => link.close(reason),
      () => {},
    );
  }
}

async function limitTime<Result>(
  work: Promise<Result>,
  timeoutMs: number,
  method: string,
): Promise<Result> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<never>((unused, reject) => {
    const fail = () => reject(new SycamoreheadError('timeout', method));
    timer = setTimeout(fail, timeoutMs);
  });
  try {
    return await Promise.race([work, expired]);
  } finally {
    clearTimeout(timer);
  }
}
