/** A backend server as the choice sees it. @public */
export interface ServerCandidate {
  readonly id: string;
  /** Requests in flight there, of all entries as far as known. */
  readonly load: number;
  /** Requests that run there at once. */
  readonly slots: number;
  readonly isSameDataCentre: boolean;
  /** Whether it has missed heartbeats. */
  readonly isSilent: boolean;
  /** Its answer times against those of its service; 1 is usual. */
  readonly slowness: number;
  /** Tokens of the request that it probably has in memory. */
  readonly cachedTokens: number;
}

/** What the choice knows of the request. @public */
export interface WorkShape {
  /** Tokens of the prompt, 0 for plain services. */
  readonly promptTokens: number;
}

/** How servers are ranked; the least wins. @public */
export type ForwardPolicy = 'estimated' | 'least_loaded';

/** Weight of a share of the slots taken, against the other terms. */
const LOAD_WEIGHT = 1;
/** Weight of a prompt of ten thousand tokens that has to be read again. */
const READ_WEIGHT = 0.35;
const TOKENS_PER_READ = 10_000;
/** Weight of leaving the data centre. */
const DISTANCE_WEIGHT = 0.06;
/** Weight that puts a silent server behind all others. */
const SILENT_WEIGHT = 10;

const SCORERS: Readonly<
  Record<ForwardPolicy, (server: ServerCandidate, work: WorkShape) => number>
> = {
  least_loaded: ({load}) => load,
  estimated: (server, {promptTokens}) => {
    const toRead = Math.max(0, promptTokens - server.cachedTokens);
    const taken = (server.load + 1) / Math.max(1, server.slots);
    return (
      taken * LOAD_WEIGHT * server.slowness +
      (toRead / TOKENS_PER_READ) * READ_WEIGHT +
      (server.isSameDataCentre ? 0 : DISTANCE_WEIGHT) +
      (server.isSilent ? SILENT_WEIGHT : 0)
    );
  },
};

/**
 * Scores a backend server for a request; the least score wins.
 *
 * @example
 * ```ts
 * scoreServer('estimated', server, {promptTokens: 6_000}); // 0.32
 * ```
 * @public
 */
export function scoreServer(
  policy: ForwardPolicy,
  server: ServerCandidate,
  work: WorkShape,
): number {
  return SCORERS[policy](server, work);
}
