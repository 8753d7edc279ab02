import type {VersionCounts} from '@sycamorehead/schema';
import type {
  ExchangeReply,
  ExchangeRequest,
  ServerLoad,
} from './fleetMessages.js';
import {NO_COUNTS, VersionPair, addCounts} from './evaluateRollout.js';

/** Age beyond which an entry's load no longer counts, in milliseconds. */
const LOAD_EXPIRY_MS = 1_500;
/** Age beyond which an entry is forgotten, with its evidence, in milliseconds. */
const ENTRY_EXPIRY_MS = 60_000;

interface EntryUsage {
  readonly request: ExchangeRequest;
  readonly heardAt: number;
}

/**
 * Sums what the entries report: load by backend server, and evidence on roll-outs.
 *
 * @public
 */
export class LoadExchange {
  private readonly entries = new Map<string, EntryUsage>();

  /** Takes one entry's report and returns what the others have in flight. */
  exchange(request: ExchangeRequest): ExchangeReply {
    const now = performance.now();
    this.entries.set(request.entry, {request, heardAt: now});
    const load: Record<string, ServerLoad> = {};
    let entries = 0;
    for (const [name, usage] of this.entries) {
      const ageMs = now - usage.heardAt;
      if (ageMs > ENTRY_EXPIRY_MS) this.entries.delete(name);
      if (ageMs > LOAD_EXPIRY_MS) continue;
      entries += 1;
      if (name === request.entry) continue;
      for (const [id, [inFlight, pendingMs]] of listLoad(usage)) {
        const known = load[id] ?? [0, 0];
        load[id] = [known[0] + inFlight, known[1] + pendingMs];
      }
    }
    return {entries, load};
  }

  /** Counts the requests in flight on some backend servers, over all entries. */
  countInFlight(ids: ReadonlySet<string>): number {
    let total = 0;
    for (const usage of this.entries.values()) {
      if (performance.now() - usage.heardAt > LOAD_EXPIRY_MS) continue;
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
          const cut = key.lastIndexOf('|');
          const route = key.slice(0, cut);
          const side = key.slice(cut + 1) === 'new' ? 'new' : 'old';
          const pair = routes.get(route) ?? {old: NO_COUNTS, new: NO_COUNTS};
          pair[side] = addCounts(pair[side], counts);
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
