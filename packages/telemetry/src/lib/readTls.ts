import {readFileSync} from 'node:fs';
import {SycamoreheadError} from '@sycamorehead/schema';

/**
 * A certificate with its key, and the authority that must have signed the certificates of peers.
 *
 * @public
 */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** Absent if peers present no certificate. */
  readonly ca?: Buffer;
}

/**
 * Files of a TlsMaterial, as named in the settings. TLS is disabled if all are empty or absent.
 *
 * @public
 */
export interface TlsFiles {
  readonly cert?: string;
  readonly key?: string;
  readonly ca?: string;
}

function readFile(flag: string, file: string): Buffer {
  try {
    return readFileSync(file);
  } catch (error) {
    throw new SycamoreheadError(
      'settings_invalid',
      `--${flag}: cannot read ${file}`,
      {field: flag, cause: error},
    );
  }
}

/**
 * Reads the TLS files that a group of flags names. A certificate without its key, or a key without
 * its certificate, is an error, because continuing would mean serving without TLS.
 *
 * @param flagPrefix Prefix of the flags, such as `tls` or `peer-tls`.
 * @throws SycamoreheadError `settings_invalid` naming the flag.
 * @example
 * ```ts
 * readTls('tls', {cert: '/etc/syc/entry.pem', key: '/etc/syc/entry.key'});
 * ```
 * @public
 */
export function readTls(
  flagPrefix: string,
  files: TlsFiles,
): TlsMaterial | undefined {
  const {cert, key, ca} = files;
  if (!cert && !key && !ca) return undefined;
  if (!cert || !key) {
    throw new SycamoreheadError(
      'settings_invalid',
      `--${flagPrefix}-cert and --${flagPrefix}-key must be set together; one is missing`,
      {field: cert ? `${flagPrefix}-key` : `${flagPrefix}-cert`},
    );
  }
  return {
    cert: readFile(`${flagPrefix}-cert`, cert),
    key: readFile(`${flagPrefix}-key`, key),
    ...(ca && {ca: readFile(`${flagPrefix}-ca`, ca)}),
  };
}
