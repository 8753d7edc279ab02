import {option, optional, string} from 'cmd-ts';

function createFileOption(long: string, description: string) {
  const env = `SYC_${long.replaceAll('-', '_').toUpperCase()}`;
  return option({type: optional(string), long, env, description});
}

/**
 * Creates the command-line options of one side's TLS: `--SIDE-cert`, `--SIDE-key`, `--SIDE-ca`.
 *
 * @param side Prefix of the flags, as `tls` or `peer-tls`.
 * @param other Who is on the other end, for the help text.
 * @example
 * ```ts
 * const {cert, key, ca} = createTlsOptions('tls', 'callers');
 * ```
 * @public
 */
export function createTlsOptions(side: string, other: string) {
  return {
    cert: createFileOption(
      `${side}-cert`,
      `PEM file of the certificate shown to ${other}; turns TLS on`,
    ),
    key: createFileOption(`${side}-key`, "PEM file of the certificate's key"),
    ca: createFileOption(
      `${side}-ca`,
      `PEM file of the authority that must have signed the certificates of ${other}`,
    ),
  };
}
