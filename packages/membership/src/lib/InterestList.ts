/** Time for which a freed place is not given to another server, in milliseconds. */
const FREED_MS = 5_000;

/** One change of a list of interests: the server now at a place, or none. @internal */
export type InterestChange = readonly [place: number, id: string | null];

/**
 * The servers whose heartbeats an entry wants, each at a place that stays the same, so that a heartbeat
 * needs one bit for each. A freed place rests for a while: heartbeats under way still mean its last
 * server.
 *
 * @internal
 */
export class InterestList {
  private readonly places: Array<string | null> = [];
  private readonly placeOf = new Map<string, number>();
  private readonly freedAt = new Map<number, number>();

  // Commands.

  /** Takes the wanted servers and returns what changed. */
  update(wanted: ReadonlySet<string>): InterestChange[] {
    const changes: InterestChange[] = [];
    for (const [id, place] of this.placeOf) {
      if (wanted.has(id)) continue;
      this.placeOf.delete(id);
      this.places[place] = null;
      this.freedAt.set(place, performance.now());
      changes.push([place, null]);
    }
    for (const id of wanted) {
      if (this.placeOf.has(id)) continue;
      const place = this.takePlace();
      this.places[place] = id;
      this.placeOf.set(id, place);
      changes.push([place, id]);
    }
    return changes;
  }

  // Queries.

  /** Returns the server at a place. */
  get(place: number): string | null {
    return this.places[place] ?? null;
  }

  /** Lists the whole as changes to an empty list. */
  list(): InterestChange[] {
    return [...this.placeOf].map(([id, place]) => [place, id] as const);
  }

  private takePlace(): number {
    const free = performance.now() - FREED_MS;
    for (const [place, at] of this.freedAt) {
      if (at > free) break;
      this.freedAt.delete(place);
      return place;
    }
    this.places.push(null);
    return this.places.length - 1;
  }
}
