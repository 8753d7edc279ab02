/** A backend server as the choice sees it. @public */
export interface ServerCandidate {
  /** Requests in flight there, of all entries as far as known. */
  readonly load: number;
  /** Requests that run there at once. */
  readonly slots: number;
  /** Work placed there that has not begun to answer, in milliseconds of the server. */
  readonly pendingMs: number;
  /** What this request would add, in milliseconds of the server. */
  readonly ownMs: number;
  readonly isSameDataCentre: boolean;
  /** Whether it has missed heartbeats. */
  readonly isSilent: boolean;
  /** Its answer times against those of its service; 1 is usual. */
  readonly slowness: number;
}

/** How servers are ranked; the least wins. @public */
export type ForwardPolicy = 'estimated' | 'least_loaded';

/** Cost of a server with all slots taken, in milliseconds: each request slows all beside it. */
const FULL_SERVER_MS = 400;
/** Cost of leaving the data centre, in milliseconds. */
const DISTANCE_MS = 5;
/** Cost that puts a silent server behind all others, in milliseconds. */
const SILENT_MS = 100_000;

const SCORERS: Readonly<
  Record<ForwardPolicy, (server: ServerCandidate) => number>
> = {
  least_loaded: ({load}) => load,
  estimated: server => {
    const {load, slots, pendingMs, ownMs, slowness} = server;
    const taken = load / Math.max(1, slots);
    const workMs = pendingMs + ownMs + taken * FULL_SERVER_MS;
    return (
      workMs * slowness +
      (server.isSameDataCentre ? 0 : DISTANCE_MS) +
      (server.isSilent ? SILENT_MS : 0)
    );
  },
};

/**
 * Scores a backend server for a request as the time, in milliseconds, until it would answer; the
 * least score wins.
 *
 * @example
 * ```ts
 * scoreServer('estimated', server); // 212
 * ```
 * @public
 */
export function scoreServer(
  policy: ForwardPolicy,
  server: ServerCandidate,
): number {
  return SCORERS[policy](server);
}
