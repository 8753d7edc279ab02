import {CrashFleet, CrashFleetOptions} from './CrashFleet.js';
import {
  buildConfiguration,
  buildEngineConfiguration,
  buildRoute,
  formatRequest,
} from './GatewayHarness.js';
import type {RouteConfiguration} from '@sycamorehead/schema';
import {sendAtIntervals} from './sendAtIntervals.js';

/** Time from a crash to the next start of the server, in milliseconds. */
const DOWN_MS = 1_500;
/** Interval at which each request that crashes servers is sent again, in milliseconds. */
const REPEAT_INTERVAL_MS = 500;
/** Interval between sound requests, in milliseconds. */
const SOUND_INTERVAL_MS = 25;
/** Prompt segments that sound prompts share with those that crash servers. */
const SHARED_PREFIX = 'c0:800,d1:100';
const CRASHING_CONTENT = /\bbad\d+\b/;

/** Kinds of requests that crash servers. */
export type RepeatKind = 'safe' | 'unsafe' | 'prompt';

/** Settings of a RepeatFleet. */
export interface RepeatFleetOptions extends CrashFleetOptions {
  readonly kind: RepeatKind;
  /** Number of different requests that crash servers. */
  readonly crashing: number;
  /** Number of different sound requests that are sent in turn; all are different if absent. */
  readonly soundContents?: number;
}

/** What is special about the requests of a kind. */
interface KindProfile {
  readonly configuration: RouteConfiguration;
  readonly slots: number;
  /** Formats a request for some content. */
  format(id: string, content: string): string;
}

const PROFILES: Readonly<Record<RepeatKind, KindProfile>> = {
  safe: {
    configuration: buildConfiguration([buildRoute()]),
    slots: 6,
    format: (id, content) => formatRequest({id, path: `/drafts/${content}`}),
  },
  // All share method, path and caller.
  unsafe: {
    configuration: buildConfiguration([buildRoute({kind: 'unsafe'})]),
    slots: 6,
    format: (id, content) => formatRequest({id, method: 'POST', body: content}),
  },
  prompt: {
    configuration: buildEngineConfiguration({
      kind: 'streaming',
      isResumable: true,
      targetLatencyMs: 1_500,
    }),
    slots: 64,
    format: (id, content) =>
      formatRequest({
        id,
        method: 'POST',
        body: content,
        headers: [`X-Prefix: ${SHARED_PREFIX},${id}:50`, 'X-Tokens: 950,20'],
      }),
  },
};

/** Several entries in front of servers that crash under requests that are sent again and again. */
export class RepeatFleet extends CrashFleet {
  /** What the requests contain that crash servers. */
  readonly causes: readonly string[];

  constructor(private readonly repeatOptions: RepeatFleetOptions) {
    const {kind, crashing} = repeatOptions;
    const {configuration, slots} = PROFILES[kind];
    super(repeatOptions, configuration, {
      findCause: ({text}) => CRASHING_CONTENT.exec(text)?.[0],
      isStreaming: kind === 'prompt',
      downMs: DOWN_MS,
      slots,
    });
    this.causes = Array.from(
      {length: crashing},
      (unused, index) => `bad${index}`,
    );
  }

  /** Sends sound requests and those that crash servers, until `durationMs` have passed. */
  async sendTraffic(durationMs: number): Promise<void> {
    const {soundContents = Infinity} = this.repeatOptions;
    let sound = 0;
    await Promise.all([
      sendAtIntervals(SOUND_INTERVAL_MS, durationMs, () => {
        sound += 1;
        return this.sendContent(`sound${sound % soundContents}`);
      }),
      ...this.causes.map(cause =>
        sendAtIntervals(REPEAT_INTERVAL_MS, durationMs, () =>
          this.sendContent(cause, cause),
        ),
      ),
    ]);
  }

  /** Sends one request with some content. */
  async sendContent(content: string, cause?: string): Promise<void> {
    const {format} = PROFILES[this.repeatOptions.kind];
    await this.exchange(cause, count => format(`r${count}`, content));
  }
}
