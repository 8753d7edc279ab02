/**
 * The announcement that a backend server sends about itself, once a second, to any entry.
 *
 * @public
 */
import {z} from 'zod';
import {validateInput} from './validateInput.js';

const MAX_LOADED_VERSIONS = 64;

const identifier = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$/);

const loadReport = z.strictObject({
  running: z.number().int().min(0),
  queued: z.number().int().min(0),
  /** Tokens generated per second, over all running requests. */
  tokensPerSecond: z.number().min(0),
  /** Age of these figures when they were sent, in milliseconds. */
  ageMs: z.number().min(0),
});

/** Validator of an announcement. @public */
export const announcementSchema = z.strictObject({
  id: identifier,
  /** Base URL with an IP address, such as `http://10.0.0.7:8000`. */
  address: z.url({protocol: /^https?$/}).max(200),
  dataCentre: identifier,
  kind: z.enum(['engine', 'service']),
  /** The service's name; absent for engines. */
  service: identifier.optional(),
  /** Incremented by the server each time it starts. */
  generation: z.number().int().min(0),
  /** Incremented with every announcement of one generation. */
  sequence: z.number().int().min(0),
  state: z.enum(['ready', 'leaving']),
  /** Versions that an engine has loaded. */
  versions: z
    .array(z.strictObject({model: identifier, version: identifier}))
    .max(MAX_LOADED_VERSIONS)
    .default([]),
  /**
   * Number of versions that an engine can have loaded at once. Defaults to the number of loaded
   * versions, but at least one.
   */
  versionSlots: z.number().int().min(1).max(MAX_LOADED_VERSIONS).optional(),
  /** Number of requests that the server runs concurrently. */
  slots: z.number().int().min(1).max(10_000),
  fencing: z.enum(['checked', 'ignored']),
  load: loadReport.optional(),
});

/** A validated announcement. @public */
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * Validates an announcement.
 *
 * @throws SycamoreheadError `malformed_request` naming the field.
 * @example
 * ```ts
 * parseAnnouncement(body).id; // 'engine-1'
 * ```
 * @public
 */
export function parseAnnouncement(body: unknown): Announcement {
  return validateInput(announcementSchema, body, 'malformed_request', 'body');
}
