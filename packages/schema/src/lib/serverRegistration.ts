/** The registration that a backend server sends about itself. @public */
export interface ServerRegistration {
  readonly id: string;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of the software that the server runs. */
  readonly version: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Unix time of the server's start in milliseconds; a later start supersedes an earlier one. */
  readonly startedAtMs: number;
  /** Increases with each registration of one start. */
  readonly sequence: number;
  /**
   * Time after the registration for which the server is still slow because it has just started, in
   * milliseconds; undefined if the server did not say.
   */
  readonly slowStartMs?: number;
}

/** `gone` means that the server has withdrawn itself and accepts no more requests. @public */
export type ServerState = 'ready' | 'leaving' | 'gone';

/**
 * Returns whether a received registration supersedes the known one of the same server.
 * Registrations are ordered by start, then state, then sequence, so that a server that has begun to
 * leave becomes ready again only by a new start.
 *
 * @example
 * ```ts
 * isNewerRegistration(received, known); // false if it arrived late
 * ```
 * @public
 */
export function isNewerRegistration(
  received: ServerRegistration,
  known: ServerRegistration,
): boolean {
  if (received.startedAtMs !== known.startedAtMs) {
    return received.startedAtMs > known.startedAtMs;
  }
  const receivedRank = STATE_RANKS[received.state];
  const knownRank = STATE_RANKS[known.state];
  if (receivedRank !== knownRank) return receivedRank > knownRank;
  return received.sequence > known.sequence;
}

/**
 * Builds the key of one start of a server, by which the entries tell each other of it.
 *
 * @example
 * ```ts
 * buildIncarnationKey({id: 'i-1', startedAtMs: 17}); // 'i-1 17'
 * ```
 * @public
 */
export function buildIncarnationKey({
  id,
  startedAtMs,
}: Pick<ServerRegistration, 'id' | 'startedAtMs'>): string {
  return `${id} ${startedAtMs}`;
}

const STATE_RANKS: Readonly<Record<ServerState, number>> = {
  ready: 0,
  leaving: 1,
  gone: 2,
};
