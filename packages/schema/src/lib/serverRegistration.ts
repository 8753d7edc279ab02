/** What a backend server says of itself. @public */
export interface ServerRegistration {
  readonly id: string;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of the software that it runs. */
  readonly version: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Unix time of its start in milliseconds; a later start supersedes an earlier one. */
  readonly startedAtMs: number;
  /** Grows with each registration of one start. */
  readonly sequence: number;
}

/** `gone`: it has withdrawn itself and takes nothing more. @public */
export type ServerState = 'ready' | 'leaving' | 'gone';

/**
 * Orders two registrations of one server: by start, then by sequence. Once a start has begun to
 * leave, it never becomes ready again.
 *
 * @example
 * ```ts
 * isNewerRegistration(heard, known); // false for a late one
 * ```
 * @public
 */
export function isNewerRegistration(
  heard: ServerRegistration,
  known: ServerRegistration,
): boolean {
  if (heard.startedAtMs !== known.startedAtMs) {
    return heard.startedAtMs > known.startedAtMs;
  }
  const heardRank = STATE_RANKS[heard.state];
  const knownRank = STATE_RANKS[known.state];
  if (heardRank !== knownRank) return heardRank > knownRank;
  return heard.sequence > known.sequence;
}

const STATE_RANKS: Readonly<Record<ServerState, number>> = {
  ready: 0,
  leaving: 1,
  gone: 2,
};
