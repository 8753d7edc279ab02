/**
 * The release note that an operator publishes. A note adds, changes and withdraws entries of the
 * configuration that results from the previous note.
 *
 * @public
 */
import {z} from 'zod';

const MAX_ENTRIES = 1_000;
const MAX_STEPS = 20;
const DAY_SECONDS = 86_400;

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'expected lower-case letters, digits, dots, dashes or underscores, at most 63, beginning with a letter or digit',
  );
const keyHash = z
  .string()
  .regex(
    /^sha256:[0-9a-f]{64}$/,
    'expected sha256: and 64 hex digits (syc hash-key prints it)',
  );
const share = z.number().gt(0).max(1);
const quality = z.number().min(0).max(1);
const price = z.number().min(0).max(1_000_000);

/**
 * One step of a roll-out: the share of new sessions on the new version, and its minimum duration.
 */
const rolloutStep = z.strictObject({
  share,
  soakSeconds: z.number().min(0).max(DAY_SECONDS),
});

const guard = z.strictObject({
  /** Lowest acceptable mean rating, 0 to 1. */
  minQuality: quality,
  /** Highest acceptable share of failed or truncated answers, 0 to 1. */
  maxErrorRate: z.number().min(0).max(1),
  /** Number of ratings that a step requires before the next one begins. */
  minRatings: z.number().int().min(0).max(100_000).default(30),
});

const rollout = z.strictObject({
  /** The version that serves the remaining traffic during the roll-out. */
  replaces: name,
  steps: z.array(rolloutStep).min(1).max(MAX_STEPS),
  guard,
});

const replicas = z.number().int().min(0).max(100_000);

const version = z.strictObject({
  model: name,
  version: name,
  /** Price of a million prompt tokens in currency units, equal to micro-units per token. */
  inputPrice: price,
  /** Price of a million generated tokens in currency units, equal to micro-units per token. */
  outputPrice: price,
  contextTokens: z.number().int().min(1).max(10_000_000),
  /** Expected rating while there are no ratings, 0 to 1. */
  qualityPrior: quality,
  /**
   * Number of replicas required at full share; 0 leaves placement to the operators of the servers.
   */
  replicas: replicas.default(0),
  rollout: rollout.optional(),
});

const permittedModel = z.strictObject({
  model: name,
  /** Versions that this customer may use; `any` allows every version of the model. */
  versions: z.union([z.literal('any'), z.array(name).min(1).max(MAX_ENTRIES)]),
});

const limits = z.strictObject({
  requestsPerSecond: z.number().gt(0).max(1_000_000),
  /** Tokens generated per second, over the whole deployment. */
  tokensPerSecond: z.number().gt(0).max(100_000_000),
});

const permittedModels = z.array(permittedModel).max(MAX_ENTRIES);
const serviceNames = z.array(name).max(MAX_ENTRIES);
const weight = z.number().gt(0).max(1_000);

const customer = z.strictObject({
  customer: name,
  keyHash,
  models: permittedModels.default([]),
  services: serviceNames.default([]),
  /** Share of the capacity under contention, relative to the other customers. */
  weight: weight.default(1),
  limits,
  /** Lowest acceptable expected rating, 0 to 1. */
  qualityTarget: quality,
});

const serviceCall = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path prefix below the service, beginning with a slash. */
  path: z.string().regex(/^\/[^\s?#]*$/, 'expected a path beginning with /'),
  repeatable: z.boolean(),
  /** Price of each call in currency micro-units. */
  priceMicros: z.number().int().min(0).max(1_000_000_000).default(0),
});

const service = z.strictObject({
  service: name,
  /** The first matching declaration applies; a call that matches none is refused. */
  calls: z.array(serviceCall).min(1).max(MAX_ENTRIES),
});

const versionRef = z.strictObject({model: name, version: name});

// Defaults fill the omitted fields of a new declaration. A change leaves omitted fields as they
// are, so its fields must have no defaults: `partial` alone would still apply them.
const versionChange = version
  .extend({replicas})
  .partial()
  .required({model: true, version: true});
const customerChange = customer
  .extend({models: permittedModels, services: serviceNames, weight})
  .partial()
  .required({customer: true});
const serviceChange = service.partial().required({service: true});

const added = z.strictObject({
  versions: z.array(version).max(MAX_ENTRIES).default([]),
  customers: z.array(customer).max(MAX_ENTRIES).default([]),
  services: z.array(service).max(MAX_ENTRIES).default([]),
});

const changed = z.strictObject({
  versions: z.array(versionChange).max(MAX_ENTRIES).default([]),
  customers: z.array(customerChange).max(MAX_ENTRIES).default([]),
  services: z.array(serviceChange).max(MAX_ENTRIES).default([]),
});

const withdrawn = z.strictObject({
  versions: z.array(versionRef).max(MAX_ENTRIES).default([]),
  customers: z.array(name).max(MAX_ENTRIES).default([]),
  services: z.array(name).max(MAX_ENTRIES).default([]),
});

/** Validator of a release note. @public */
export const releaseNoteSchema = z.strictObject({
  number: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  /** Number of the note that this one follows; 0 for the first. */
  follows: z.number().int().min(0),
  summary: z.string().max(2_000).default(''),
  add: added.prefault({}),
  change: changed.prefault({}),
  withdraw: withdrawn.prefault({}),
});

/** A validated release note. @public */
export type ReleaseNote = z.infer<typeof releaseNoteSchema>;
/** A version as a note declares it. @public */
export type VersionDeclaration = z.infer<typeof version>;
/** A customer as a note declares it. @public */
export type CustomerDeclaration = z.infer<typeof customer>;
/** A plain service as a note declares it. @public */
export type ServiceDeclaration = z.infer<typeof service>;
/** One kind of call of a plain service. @public */
export type ServiceCall = z.infer<typeof serviceCall>;
/** A roll-out as a note declares it. @public */
export type RolloutDeclaration = z.infer<typeof rollout>;
/** Identifies one version of one model. @public */
export type VersionRef = z.infer<typeof versionRef>;
