import {readFileSync} from 'node:fs';
import {SycamoreheadError} from '@sycamorehead/schema';

/** A certificate with its key, and the authority that other ends must be signed by. @public */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** Absent where other ends present no certificate. */
  readonly ca?: Buffer;
}

/** Files of a TlsMaterial, as the settings name them; empty or absent turns TLS off. @public */
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
 * Reads the files of one side's TLS. A certificate without its key, or a key without its
 * certificate, is refused rather than served in the clear.
 *
 * @param side Prefix of the flags, as `tls` or `peer-tls`.
 * @throws SycamoreheadError `settings_invalid` naming the flag.
 * @example
 * ```ts
 * readTls('tls', {cert: '/etc/syc/entry.pem', key: '/etc/syc/entry.key'});
 * ```
 * @public
 */
export function readTls(
  side: string,
  files: TlsFiles,
): TlsMaterial | undefined {
  const {cert, key, ca} = files;
  if (!cert && !key && !ca) return undefined;
  if (!cert || !key) {
    throw new SycamoreheadError(
      'settings_invalid',
      `--${side}-cert and --${side}-key go together; one is missing`,
      {field: cert ? `${side}-key` : `${side}-cert`},
    );
  }
  return {
    cert: readFile(`${side}-cert`, cert),
    key: readFile(`${side}-key`, key),
    ...(ca && {ca: readFile(`${side}-ca`, ca)}),
  };
}
