import {Socket, connect} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {TlsMaterial} from '@sycamorehead/telemetry';
import {createSocketChannel} from './MessageChannel.js';
import {
  DEFAULT_LINK_TIMEOUTS,
  LinkTimeouts,
  MethodTable,
  PeerLink,
} from './PeerLink.js';
import {HELLO_METHOD} from './WireServer.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** The address of a peer. @public */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of connectPeer. @public */
export interface ConnectOptions {
  readonly address: PeerAddress;
  /** Name of this instance, sent to the peer. */
  readonly name: string;
  readonly peerKey: string;
  readonly methods?: MethodTable;
  readonly timeouts?: LinkTimeouts;
  /** Enables TLS. The certificate of the peer must be signed by the CA. */
  readonly tls?: TlsMaterial;
}

/**
 * Parses `IP:PORT`.
 *
 * @throws SycamoreheadError `settings_invalid`.
 * @example
 * ```ts
 * parsePeerAddress('127.0.0.1:80').port; // 80
 * ```
 * @public
 */
export function parsePeerAddress(text: string): PeerAddress {
  const match = /^\[?([0-9a-fA-F.:]+?)\]?:(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (!match?.[1] || port > 65_535) {
    throw new SycamoreheadError(
      'settings_invalid',
      `${text}: expected IP:PORT`,
    );
  }
  return {host: match[1], port};
}

/**
 * Connects to a peer and authenticates with the peer key.
 *
 * @throws SycamoreheadError `link_closed` if the connection fails, `unauthenticated` if the key is
 * wrong, `timeout`.
 * @example
 * ```ts
 * const link = await connectPeer({address, name: 'e1', peerKey});
 * ```
 * @public
 */
export async function connectPeer(options: ConnectOptions): Promise<PeerLink> {
  const socket = await openSocket(options.address, options.tls);
  const link = new PeerLink(
    createSocketChannel(socket),
    options.methods ?? {},
    options.timeouts ?? DEFAULT_LINK_TIMEOUTS,
  );
  try {
    await link.request(HELLO_METHOD, {
      name: options.name,
      key: options.peerKey,
    });
  } catch (error) {
    link.close('hello failed');
    throw error;
  }
  return link;
}

function openSocket(
  address: PeerAddress,
  tls: TlsMaterial | undefined,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = tls ? connectTls({...address, ...tls}) : connect(address);
    const fail = (reason: string) => {
      socket.destroy();
      const target = `${address.host}:${address.port}`;
      reject(new SycamoreheadError('link_closed', `${target}: ${reason}`));
    };
    const timer = setTimeout(
      () => fail('connect timed out'),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('error', error => {
      clearTimeout(timer);
      fail(error.message);
    });
    socket.once(tls ? 'secureConnect' : 'connect', () => {
      clearTimeout(timer);
      resolve(socket);
    });
  });
}
