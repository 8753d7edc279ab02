import {
  Configuration,
  ConfiguredVersion,
  formatVersionKey,
} from './configuration.js';
import {computeDigest} from './json.js';
import type {ReleaseNote, VersionDeclaration} from './releaseNote.js';
import {SycamoreheadError} from './SycamoreheadError.js';

function refuse(field: string, message: string): never {
  throw new SycamoreheadError('note_invalid', `${field}: ${message}`, {field});
}

/** Applies a note's additions and changes to one of the three tables of a configuration. */
function mergeTable<Entry extends object>(
  field: string,
  current: Readonly<Record<string, Entry>>,
  added: ReadonlyMap<string, Entry>,
  changed: ReadonlyMap<string, Partial<Entry>>,
): Record<string, Entry> {
  const table: Record<string, Entry> = {...current};
  for (const [key, entry] of added) {
    if (Object.hasOwn(table, key)) refuse(`add.${field}`, `${key} exists`);
    table[key] = entry;
  }
  for (const [key, change] of changed) {
    const existing = Object.hasOwn(table, key) ? table[key] : undefined;
    if (!existing) refuse(`change.${field}`, `${key} does not exist`);
    table[key] = {...existing, ...change};
  }
  return table;
}

function indexBy<Entry>(
  field: string,
  entries: readonly Entry[],
  getKey: (entry: Entry) => string,
): Map<string, Entry> {
  const index = new Map<string, Entry>();
  for (const entry of entries) {
    const key = getKey(entry);
    if (index.has(key)) refuse(field, `${key} is listed twice`);
    index.set(key, entry);
  }
  return index;
}

function startVersion(
  declared: VersionDeclaration,
  revision: number,
): ConfiguredVersion {
  const state = declared.rollout ? 'rolling_out' : 'active';
  return {...declared, state, step: 0, since: revision};
}

/**
 * Adds the effect on a version's state to its change. A declared roll-out begins at the first step,
 * even if the version is quarantined.
 */
function changeVersion(
  change: Partial<VersionDeclaration>,
  revision: number,
): Partial<ConfiguredVersion> {
  if (!change.rollout) return change;
  return {
    ...change,
    state: 'rolling_out',
    step: 0,
    since: revision,
    reason: undefined,
  };
}

function mergeVersions(
  current: Configuration,
  note: ReleaseNote,
): Record<string, ConfiguredVersion> {
  const revision = current.revision + 1;
  const added = indexBy('add.versions', note.add.versions, formatVersionKey);
  const changed = indexBy(
    'change.versions',
    note.change.versions,
    formatVersionKey,
  );
  const table = mergeTable<ConfiguredVersion>(
    'versions',
    current.versions,
    new Map(
      [...added].map(([key, entry]) => [key, startVersion(entry, revision)]),
    ),
    new Map(
      [...changed].map(([key, entry]) => [key, changeVersion(entry, revision)]),
    ),
  );
  for (const key of changed.keys()) {
    if (current.versions[key]?.state !== 'withdrawn') continue;
    refuse('change.versions', `${key} is withdrawn; add a new version instead`);
  }
  for (const ref of note.withdraw.versions) {
    const key = formatVersionKey(ref);
    const existing = Object.hasOwn(table, key) ? table[key] : undefined;
    if (!existing) refuse('withdraw.versions', `${key} does not exist`);
    table[key] = {...existing, state: 'withdrawn'};
  }
  return table;
}

function withdrawNames<Entry>(
  field: string,
  table: Record<string, Entry>,
  names: readonly string[],
): Record<string, Entry> {
  for (const name of names) {
    if (!Object.hasOwn(table, name)) refuse(field, `${name} does not exist`);
    delete table[name];
  }
  return table;
}

function checkReferences(configuration: Configuration): void {
  const models = new Set(
    Object.values(configuration.versions).map(version => version.model),
  );
  for (const customer of Object.values(configuration.customers)) {
    for (const permitted of customer.models) {
      const field = `customers.${customer.customer}.models`;
      if (!models.has(permitted.model)) {
        refuse(field, `model ${permitted.model} does not exist`);
      }
      if (permitted.versions === 'any') continue;
      for (const version of permitted.versions) {
        const key = formatVersionKey({model: permitted.model, version});
        if (!Object.hasOwn(configuration.versions, key)) {
          refuse(field, `version ${key} does not exist`);
        }
      }
    }
    for (const service of customer.services) {
      if (Object.hasOwn(configuration.services, service)) continue;
      refuse(
        `customers.${customer.customer}.services`,
        `service ${service} does not exist`,
      );
    }
  }
  checkRollouts(configuration);
  checkKeys(configuration);
}

function checkRollouts(configuration: Configuration): void {
  for (const version of Object.values(configuration.versions)) {
    if (!version.rollout) continue;
    const {replaces} = version.rollout;
    const key = formatVersionKey({model: version.model, version: replaces});
    const isKnown = Object.hasOwn(configuration.versions, key);
    if (isKnown && replaces !== version.version) continue;
    refuse(
      `versions.${formatVersionKey(version)}.rollout.replaces`,
      `expected another version of ${version.model}, found ${replaces}`,
    );
  }
}

function checkKeys(configuration: Configuration): void {
  const customerByHash = new Map<string, string>();
  for (const {customer, keyHash} of Object.values(configuration.customers)) {
    const other = customerByHash.get(keyHash);
    if (other) refuse(`customers.${customer}.keyHash`, `same as ${other}`);
    customerByHash.set(keyHash, customer);
  }
}

/**
 * Computes the configuration that results from publishing a note. `current` is not modified.
 *
 * @throws SycamoreheadError `note_invalid` if the note contradicts the configuration.
 * @example
 * ```ts
 * applyReleaseNote(EMPTY_CONFIGURATION, note).revision; // 1
 * ```
 * @public
 */
export function applyReleaseNote(
  current: Configuration,
  note: ReleaseNote,
): Configuration {
  const customers = mergeTable(
    'customers',
    current.customers,
    indexBy('add.customers', note.add.customers, entry => entry.customer),
    indexBy('change.customers', note.change.customers, entry => entry.customer),
  );
  const services = mergeTable(
    'services',
    current.services,
    indexBy('add.services', note.add.services, entry => entry.service),
    indexBy('change.services', note.change.services, entry => entry.service),
  );
  const next: Configuration = {
    revision: current.revision + 1,
    noteNumber: note.number,
    noteDigest: computeDigest(note),
    versions: mergeVersions(current, note),
    customers: withdrawNames(
      'withdraw.customers',
      customers,
      note.withdraw.customers,
    ),
    services: withdrawNames(
      'withdraw.services',
      services,
      note.withdraw.services,
    ),
  };
  checkReferences(next);
  return next;
}
