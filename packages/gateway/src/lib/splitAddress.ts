/**
 * Splits an address `IP:PORT` into the options of a connection.
 *
 * @example
 * ```ts
 * splitAddress('10.0.0.7:8000'); // {host: '10.0.0.7', port: 8000}
 * ```
 * @internal
 */
export function splitAddress(address: string): {host: string; port: number} {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
