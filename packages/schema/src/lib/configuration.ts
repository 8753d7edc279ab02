/**
 * The configuration: the fold of all accepted release notes and of the committed roll-out and
 * quarantine decisions. Plain JSON, so that it travels and is digested as it is.
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

/** A version in force. @public */
export interface ConfiguredVersion extends VersionDeclaration {
  readonly state: VersionState;
  /** Index of the current roll-out step; steps.length - 1 is the last one. */
  readonly step: number;
  /** Revision that began its present roll-out; evidence from before does not count. */
  readonly since?: number;
  /** Why the version is quarantined, where it is. */
  readonly reason?: string;
}

/** Everything that decides what an entry may do. @public */
export interface Configuration {
  /** Raised by one with each committed change; never goes back. */
  readonly revision: number;
  /** Number of the newest accepted release note, 0 before the first. */
  readonly noteNumber: number;
  /** Digest of that note. */
  readonly noteDigest: string;
  /** Versions by `model/version`; withdrawn ones stay listed. */
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
 * Tells whether a version takes new work: active, or in a roll-out.
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
 * Tells whether a customer may use a version, whatever the version's state.
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
