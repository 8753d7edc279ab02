/**
 * The configuration that results from all accepted release notes and all committed roll-out and
 * quarantine decisions. It is plain JSON, so that it can be sent and digested without conversion.
 *
 * @public
 */
import type {
  CustomerDeclaration,
  ServiceDeclaration,
  VersionDeclaration,
  VersionRef,
} from './releaseNote.js';

/** Life cycle of a version. @public */
export type VersionState =
  'active' | 'rolling_out' | 'quarantined' | 'withdrawn';

/** A version in a configuration. @public */
export interface ConfiguredVersion extends VersionDeclaration {
  readonly state: VersionState;
  /** Index of the current roll-out step; steps.length - 1 is the last one. */
  readonly step: number;
  /** Revision that started the current roll-out. Evidence from earlier revisions is ignored. */
  readonly since?: number;
  /** The reason for the quarantine of a quarantined version. */
  readonly reason?: string;
}

/** The complete configuration according to which entries route requests. @public */
export interface Configuration {
  /** Incremented by one with each committed change; never decreases. */
  readonly revision: number;
  /** Number of the newest accepted release note, 0 before the first. */
  readonly noteNumber: number;
  /** Digest of that note. */
  readonly noteDigest: string;
  /** Versions by `model/version`, including withdrawn ones. */
  readonly versions: Readonly<Record<string, ConfiguredVersion>>;
  readonly customers: Readonly<Record<string, CustomerDeclaration>>;
  readonly services: Readonly<Record<string, ServiceDeclaration>>;
}

/** The configuration before the first note. @public */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  noteNumber: 0,
  noteDigest: '',
  versions: {},
  customers: {},
  services: {},
};

/**
 * Formats the key under which a configuration lists a version.
 *
 * @example
 * ```ts
 * formatVersionKey({model: 'large', version: 'v2'}); // 'large/v2'
 * ```
 * @public
 */
export function formatVersionKey(ref: VersionRef): string {
  return `${ref.model}/${ref.version}`;
}

/**
 * Returns whether a version accepts new requests, because it is active or being rolled out.
 *
 * @example
 * ```ts
 * isServing({state: 'withdrawn'}); // false
 * ```
 * @public
 */
export function isServing(version: Pick<ConfiguredVersion, 'state'>): boolean {
  return version.state === 'active' || version.state === 'rolling_out';
}

/**
 * Returns whether a customer may use a version, regardless of the version's state.
 *
 * @example
 * ```ts
 * isPermitted({models: [{model: 'm', versions: 'any'}]}, {model: 'm', version: 'v1'}); // true
 * ```
 * @public
 */
export function isPermitted(
  customer: Pick<CustomerDeclaration, 'models'>,
  ref: VersionRef,
): boolean {
  return customer.models.some(
    permitted =>
      permitted.model === ref.model &&
      (permitted.versions === 'any' ||
        permitted.versions.includes(ref.version)),
  );
}
