import {connect} from 'node:net';
import {splitAddress} from './splitAddress.js';

/** Time allowed for a connection, in milliseconds; data centres are milliseconds apart. */
const CONNECT_MS = 150;

/**
 * How a server responds to a new connection: `refused` means that its instance is there and nothing
 * listens.
 *
 * @internal
 */
export type Reachability = 'accepting' | 'refused' | 'unreachable';

/**
 * Tries a new connection to a server.
 *
 * @example
 * ```ts
 * if ((await queryReachability('10.0.0.7:8000')) === 'refused') recordCrash();
 * ```
 * @internal
 */
export function queryReachability(address: string): Promise<Reachability> {
  const socket = connect({...splitAddress(address), timeout: CONNECT_MS});
  return new Promise(resolve => {
    const finish = (reachability: Reachability) => {
      socket.destroy();
      resolve(reachability);
    };
    socket.once('connect', () => finish('accepting'));
    socket.once('timeout', () => finish('unreachable'));
    socket.once('error', ({code}: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'refused' : 'unreachable'),
    );
  });
}
