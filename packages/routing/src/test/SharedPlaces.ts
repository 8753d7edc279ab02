import assert from 'node:assert/strict';
import type FakeTimers from '@sinonjs/fake-timers';
import {PlacementQueue} from '../lib/forwarding/PlacementQueue.js';
import {QueuePolicy} from '../lib/forwarding/QueuePolicy.js';
import {
  computeOthersDemand,
  sumDemand,
} from '../lib/forwarding/serviceDemand.js';
import {createSequence} from './QueueReplay.js';

/** Number of entries of a replay. */
export const ENTRIES = 60;
const PLACES = 240;
const HOLD_MS = 1_000;
const STEP_MS = 10;
/** Time between two exchanges, and age of what they bring, in milliseconds. */
const EXCHANGE_MS = 100;
const EXCHANGE_AGE_MS = 200;
const OBJECTIVE_MS = 1_500;

/** Settings of a replay of entries that share places. */
export interface SharedPlacesOptions {
  readonly isExchanging: boolean;
  /** Latency objective of all requests, in milliseconds. */
  readonly objectiveMs?: number;
  readonly seed?: number;
}

/** A request of a replay of entries that share places. */
export interface SharedRequest {
  readonly priority: number;
  /** Under what its outcome is counted. */
  readonly label: string;
  readonly session?: string;
}

/**
 * Sixty entries that share places. An entry knows at once what it has freed itself, and what others
 * have with the next exchange.
 */
export class SharedPlaces {
  readonly random: () => number;
  /** Served and sent requests by label. */
  readonly counts = new Map<string, [served: number, sent: number]>();
  freeMs = 0;
  private free = PLACES;
  /** Places that each entry believes to be free, beside those that it freed itself. */
  private readonly seen = new Array<number>(ENTRIES).fill(PLACES);
  private readonly entries: readonly PlacementQueue[];

  constructor(
    private readonly clock: ReturnType<typeof FakeTimers.install>,
    private readonly options: SharedPlacesOptions,
  ) {
    this.random = createSequence(options.seed ?? 7);
    this.entries = Array.from(
      {length: ENTRIES},
      () => new PlacementQueue(new QueuePolicy(this.random)),
    );
  }

  send(index: number, {priority, label, session}: SharedRequest): void {
    const entry = this.entries[index];
    assert.ok(entry);
    const counts = this.counts.get(label) ?? [0, 0];
    this.counts.set(label, counts);
    counts[1] += 1;
    const {objectiveMs = OBJECTIVE_MS} = this.options;
    const now = performance.now();
    void entry
      .acquire({
        priority,
        customer: 'c',
        session,
        kind: `kind ${priority}`,
        work: 1,
        draw: 0,
        needs: '',
        size: 1,
        startBy: now + objectiveMs,
        abandonAt: now + objectiveMs,
        deadlineAt: now + 10_000,
        signal: new AbortController().signal,
        tryReserveSlot: () => {
          if (this.free === 0 || this.seen[index] === 0) return undefined;
          this.free -= 1;
          this.seen[index]! -= 1;
          return true;
        },
      })
      .then(
        () => {
          counts[0] += 1;
          setTimeout(() => {
            this.free += 1;
            this.seen[index]! += 1;
            entry.recordFreed();
          }, HOLD_MS);
        },
        () => {},
      );
  }

  async run(durationMs: number, sendStep: () => void): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      sendStep();
      await this.clock.tickAsync(STEP_MS);
      if (ms % EXCHANGE_MS === 0) this.exchange();
      const waiting = this.entries.some(({length}) => length > 0);
      if (waiting) this.freeMs += this.free * STEP_MS;
    }
  }

  private exchange(): void {
    const reports = this.entries.map(entry => ({
      drafts: entry.describeDemand(),
    }));
    const total = sumDemand(reports);
    const {free} = this;
    setTimeout(() => {
      this.entries.forEach((entry, index) => {
        this.seen[index] = free;
        const others = computeOthersDemand(total, reports[index] ?? {});
        entry.updateOthers(
          this.options.isExchanging ? others.drafts : undefined,
        );
        entry.offerSlots();
      });
    }, EXCHANGE_AGE_MS);
  }

  /** Computes the served fraction of the requests with a label. */
  computeServed(label: string): number {
    const [served, sent] = this.counts.get(label) ?? [0, 0];
    return served / Math.max(1, sent);
  }

  /** Sends 1.5 times what the places can serve, at all entries but the first. */
  sendToOthers(): void {
    for (let count = 0; count < 4; count += 1) {
      if (this.random() > 0.9) continue;
      const index = 1 + Math.floor(this.random() * (ENTRIES - 1));
      this.send(index, {priority: 2, label: 'other'});
    }
  }
}
