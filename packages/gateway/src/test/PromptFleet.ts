import {CrashFleet, CrashFleetOptions} from './CrashFleet.js';
import {
  GatewayHarness,
  buildEngineConfiguration,
  formatRequest,
} from './GatewayHarness.js';
import {sendAtIntervals} from './sendAtIntervals.js';

/** A segment that is in every prompt. */
export const COMMON_SEGMENT = 'c0';
/** The segment under which servers crash. */
export const CRASHING_SEGMENT = 'bad1';

/** The prompts of the sound requests have one of so many segments each, in turn. */
const DOCUMENTS = 7;
/** The document of all requests with the crashing segment while it has a companion. */
const COMPANION = 2;
/** Time from a crash to the next start of the server, in milliseconds. */
const DOWN_MS = 600;

/** Settings of a PromptFleet. */
export interface PromptFleetOptions extends CrashFleetOptions {
  /**
   * Time after the start for which all requests with the crashing segment, and no others, have one
   * further segment, in milliseconds.
   */
  readonly companionMs?: number;
}

const CONFIGURATION = buildEngineConfiguration({
  kind: 'streaming',
  isResumable: true,
  targetLatencyMs: 1_500,
});

/** Several entries in front of engines that crash under one prompt segment. */
export class PromptFleet extends CrashFleet {
  private readonly startedAt = performance.now();

  constructor(private readonly promptOptions: PromptFleetOptions) {
    super(promptOptions, CONFIGURATION, {
      findCause: ({headers}) =>
        headers.get('x-prefix')?.includes(`${CRASHING_SEGMENT}:`)
          ? CRASHING_SEGMENT
          : undefined,
      isStreaming: true,
      downMs: DOWN_MS,
      slots: 64,
    });
  }

  /** Sends requests to the entries in turn, each `intervalMs`, until `durationMs` have passed. */
  async sendRequests(
    hasCrashingSegment: boolean,
    intervalMs: number,
    durationMs: number,
  ): Promise<void> {
    await sendAtIntervals(intervalMs, durationMs, () =>
      this.sendRequest(hasCrashingSegment),
    );
  }

  /** Sends one request; its segments but for the common and the crashing one are its own. */
  async sendRequest(
    hasCrashingSegment: boolean,
    entry?: GatewayHarness,
  ): Promise<void> {
    const crashing = hasCrashingSegment ? [`${CRASHING_SEGMENT}:400`] : [];
    const build = (count: number) => {
      const segments = [
        `${COMMON_SEGMENT}:800`,
        ...crashing,
        `d${this.chooseDocument(count, hasCrashingSegment)}:100`,
        `own${count}:50`,
      ];
      const headers = [`X-Prefix: ${segments.join(',')}`, 'X-Tokens: 1350,20'];
      return formatRequest({id: `r${count}`, headers});
    };
    const cause = hasCrashingSegment ? CRASHING_SEGMENT : undefined;
    await this.exchange(cause, build, entry);
  }

  /** When servers have crashed because of the segment, on the monotonic clock. */
  get crashTimes(): readonly number[] {
    return this.listCrashTimes(CRASHING_SEGMENT);
  }

  /** Counts the requests with the crashing segment that reached a server after a moment. */
  countCrashingArrivals(after: number): number {
    return this.countArrivals(CRASHING_SEGMENT, after);
  }

  private chooseDocument(count: number, hasCrashingSegment: boolean): number {
    const document = count % DOCUMENTS;
    const {companionMs = 0} = this.promptOptions;
    if (performance.now() - this.startedAt >= companionMs) return document;
    if (hasCrashingSegment) return COMPANION;
    return document === COMPANION ? document + 1 : document;
  }
}
