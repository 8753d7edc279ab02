import type {VersionCounts} from '@sycamorehead/schema';
import type {
  ExchangeReply,
  ExchangeRequest,
  ServerLoad,
} from './fleetMessages.js';
import {NO_COUNTS, VersionPair, addCounts} from './evaluateRollout.js';

/** Age above which an entry's load is ignored, in milliseconds. */
const LOAD_EXPIRY_MS = 1_500;
/** Age above which an entry is removed with its evidence, in milliseconds. */
const ENTRY_EXPIRY_MS = 60_000;

interface EntryUsage {
  readonly request: ExchangeRequest;
  readonly receivedAt: number;
}

/**
 * Aggregates the entries' reports: load by backend server, and evidence on roll-outs.
 *
 * @public
 */
export class LoadExchange {
  private readonly entries = new Map<string, EntryUsage>();

  /** Records one entry's report and returns the load of the other entries. */
  exchange(request: ExchangeRequest): ExchangeReply {
    const now = performance.now();
    this.entries.set(request.entry, {request, receivedAt: now});
    const load: Record<string, ServerLoad> = {};
    const leaving = new Set<string>();
    let entries = 0;
    for (const [name, usage] of this.entries) {
      const ageMs = now - usage.receivedAt;
      if (ageMs > ENTRY_EXPIRY_MS) this.entries.delete(name);
      if (ageMs > LOAD_EXPIRY_MS) continue;
      entries += 1;
      if (name === request.entry) continue;
      for (const key of usage.request.leaving ?? []) leaving.add(key);
      for (const [id, [inFlight, pendingMs]] of listLoad(usage)) {
        const known = load[id] ?? [0, 0];
        load[id] = [known[0] + inFlight, known[1] + pendingMs];
      }
    }
    return {entries, load, leaving: [...leaving]};
  }

  /** Counts the requests of all entries in flight on the given backend servers. */
  countInFlight(ids: ReadonlySet<string>): number {
    let total = 0;
    for (const usage of this.entries.values()) {
      if (performance.now() - usage.receivedAt > LOAD_EXPIRY_MS) continue;
      for (const [id, [inFlight]] of listLoad(usage)) {
        if (ids.has(id)) total += inFlight;
      }
    }
    return total;
  }

  /** Sums the evidence of one roll-out by route. */
  listEvidence(service: string, number: number): VersionPair[] {
    const routes = new Map<string, {old: VersionCounts; new: VersionCounts}>();
    for (const {request} of this.entries.values()) {
      for (const evidence of request.evidence) {
        if (evidence.service !== service || evidence.number !== number) {
          continue;
        }
        for (const [key, counts] of Object.entries(evidence.counts)) {
          const separatorIndex = key.lastIndexOf('|');
          const route = key.slice(0, separatorIndex);
          const variant =
            key.slice(separatorIndex + 1) === 'new' ? 'new' : 'old';
          const pair = routes.get(route) ?? {old: NO_COUNTS, new: NO_COUNTS};
          pair[variant] = addCounts(pair[variant], counts);
          routes.set(route, pair);
        }
      }
    }
    return [...routes.values()];
  }
}

function listLoad({request}: EntryUsage): Array<[string, ServerLoad]> {
  return Object.entries(request.load);
}
