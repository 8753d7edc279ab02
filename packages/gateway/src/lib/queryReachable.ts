import {connect} from 'node:net';
import {splitAddress} from './splitAddress.js';

/** Time allowed for a connection, in milliseconds; data centres are milliseconds apart. */
const CONNECT_MS = 150;

/**
 * Returns whether a server accepts a new connection.
 *
 * @example
 * ```ts
 * if (!(await queryReachable('10.0.0.7:8000'))) sendElsewhere();
 * ```
 * @internal
 */
export function queryReachable(address: string): Promise<boolean> {
  const socket = connect({...splitAddress(address), timeout: CONNECT_MS});
  return new Promise(resolve => {
    const finish = (isConnected: boolean) => {
      socket.destroy();
      resolve(isConnected);
    };
    socket.once('connect', () => finish(true));
    socket.once('timeout', () => finish(false));
    socket.once('error', () => finish(false));
  });
}
