import type {QuarantineState} from '@sycamorehead/fleet';
import {writeDecision} from '@sycamorehead/telemetry';

/** A request in progress. */
interface WatchedRequest {
  listSegments(): readonly string[];
  readonly onQuarantined: () => void;
}

/**
 * The requests and the combinations of prompt segments that this entry sends to no backend server, since
 * servers crash under them.
 *
 * @public
 */
export class SegmentQuarantine {
  private state: QuarantineState = {revision: 0, combinations: []};
  private readonly watched = new Set<WatchedRequest>();

  constructor(
    /** Called with the segments of a combination that is in quarantine no longer. */
    private readonly onReleased: (segments: readonly string[]) => void,
  ) {}

  // Commands.

  /** Applies the state of a control instance; an older one is ignored. */
  update(state: QuarantineState): void {
    if (state.revision <= this.state.revision) return;
    const previous = this.state;
    this.state = state;
    const kept = new Set(state.combinations.map(buildKey));
    for (const segments of previous.combinations) {
      if (!kept.has(buildKey(segments))) this.onReleased(segments);
    }
    writeDecision('quarantine_in_force', {
      revision: state.revision,
      combinations: state.combinations.length,
    });
    for (const {listSegments, onQuarantined} of [...this.watched]) {
      if (this.findQuarantined(listSegments())) onQuarantined();
    }
  }

  /**
   * Calls back once a request with the segments that are listed then is in quarantine. Returns a function
   * that ends this.
   */
  watch(
    listSegments: () => readonly string[],
    onQuarantined: () => void,
  ): () => void {
    const request = {listSegments, onQuarantined};
    this.watched.add(request);
    return () => this.watched.delete(request);
  }

  // Queries.

  /** Returns whether a segment is in quarantine together with others. */
  isCombined(segment: string): boolean {
    return this.state.combinations.some(
      combination => combination.length > 1 && combination.includes(segment),
    );
  }

  /** Finds a combination in quarantine of which a prompt has all segments. */
  findQuarantined(segments: readonly string[]): readonly string[] | undefined {
    return this.state.combinations.find(combination =>
      combination.every(segment => segments.includes(segment)),
    );
  }
}

function buildKey(segments: readonly string[]): string {
  return segments.join(',');
}
