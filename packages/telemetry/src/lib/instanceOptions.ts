/**
 * Command-line options shared by entries and control instances.
 *
 * @public
 */
import {option, optional, string} from 'cmd-ts';
import {TlsMaterial, readTls} from './readTls.js';

function createFileOption(long: string, description: string) {
  const env = `SYC_${long.replaceAll('-', '_').toUpperCase()}`;
  return option({type: optional(string), long, env, description});
}

/** Options for the name, address and log of an instance. @public */
export const instanceOptions = {
  name: option({
    type: string,
    long: 'name',
    env: 'SYC_NAME',
    description: "this instance's name",
  }),
  host: option({
    type: string,
    long: 'host',
    env: 'SYC_HOST',
    description: 'IP address to listen on',
    defaultValue: () => '127.0.0.1',
    defaultValueIsSerializable: true,
  }),
  log: option({
    type: optional(string),
    long: 'log',
    env: 'SYC_LOG',
    description: "pattern of the log modules, as 'sycamorehead:*'",
  }),
};

/**
 * Options for the TLS of an instance, on connections from clients and between instances.
 *
 * @public
 */
export const tlsOptions = {
  tlsCert: createFileOption(
    'tls-cert',
    'PEM file of the certificate shown to clients; turns TLS on',
  ),
  tlsKey: createFileOption('tls-key', "PEM file of that certificate's key"),
  peerTlsCert: createFileOption(
    'peer-tls-cert',
    'PEM file of the certificate shown to other instances; turns TLS on',
  ),
  peerTlsKey: createFileOption(
    'peer-tls-key',
    "PEM file of that certificate's key",
  ),
  peerTlsCa: createFileOption(
    'peer-tls-ca',
    "PEM file of the authority that must have signed other instances' certificates",
  ),
};

/** Values of the TLS options. @public */
export type TlsSettings = {
  readonly [Name in keyof typeof tlsOptions]?: string;
};

/** The TLS certificates and keys of an instance, read from their files. @public */
export interface InstanceTls {
  /** For connections from callers, backend servers or operators. */
  readonly clients?: TlsMaterial;
  /** For connections between instances. */
  readonly peers?: TlsMaterial;
}

/**
 * Reads the files that an instance's TLS settings name.
 *
 * @throws SycamoreheadError `settings_invalid` naming the flag.
 * @example
 * ```ts
 * readInstanceTls({tlsCert: 'entry.pem', tlsKey: 'entry.key'}).clients;
 * ```
 * @public
 */
export function readInstanceTls(settings: TlsSettings): InstanceTls {
  const {tlsCert, tlsKey, peerTlsCert, peerTlsKey, peerTlsCa} = settings;
  return {
    clients: readTls('tls', {cert: tlsCert, key: tlsKey}),
    peers: readTls('peer-tls', {
      cert: peerTlsCert,
      key: peerTlsKey,
      ca: peerTlsCa,
    }),
  };
}
