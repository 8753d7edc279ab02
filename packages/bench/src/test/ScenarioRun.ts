import assert from 'node:assert/strict';
import {StandInEngine} from '@sycamorehead/stand-ins';
import {request} from 'undici';
import {DeliveryHarness} from './DeliveryHarness.js';
import type {CallResult} from './TestCaller.js';
import type {ChangeStep, ChatStep, RequestStep, Round} from './scenario.js';

const ENTRY_COUNT = 3;
const LOST_ENTRY_DISCONNECT_MS = 1_200;
const BALANCER_LAG_MS = 150;
const LEASE_MS = 1_500;
const ENGINE_SPEED = {
  slots: 64,
  stepMs: 1,
  stepMsPerJob: 0,
  prefillTokensPerMs: 1e3,
};

/** A request and its result as its caller saw it. */
export interface ObservedRequest {
  readonly step: RequestStep;
  readonly prompt: string;
  readonly result: CallResult;
  /** Whether its entry was lost by the time the request ended. */
  readonly isEntryLost: boolean;
  readonly isEntryStopping: boolean;
}

/** Work that an engine must not receive after a change: all work, or that of one version. */
interface ForbiddenWork {
  readonly engine: StandInEngine;
  readonly runsBefore: number;
  /** Absent if the engine must not receive any work. */
  readonly version?: string;
}

/**
 * Runs one scenario against entries, control and stand-ins, and records the result of each request.
 */
export class ScenarioRun {
  readonly harness = new DeliveryHarness({
    entries: ENTRY_COUNT,
    engines: 2,
    replicas: 2,
    leaseMs: LEASE_MS,
    entryOptions: {balancerLagMs: BALANCER_LAG_MS},
  });
  readonly observedRequests: ObservedRequest[] = [];
  readonly forbiddenWork: ForbiddenWork[] = [];
  /** Version of each session's last answer. */
  private readonly sessionVersions = new Map<number, string>();
  private readonly unavailableVersions = new Set<string>();
  private readonly entryRevisions = new Map<object, number>();
  private readonly referenceEngine = new StandInEngine({
    id: 'reference',
    dataCentre: 'dc-1',
    versions: ['v1', 'v2'].map(version => ({model: 'm', version})),
    speed: ENGINE_SPEED,
    fencing: 'ignored',
    entries: [],
    serverKey: '',
  });
  /** For each entry number of the scenario, the harness's index of the entry that serves it now. */
  private readonly entryIndexes = [0, 1, 2];
  private readonly stoppingEntries = new Set<number>();
  private readonly pendingStops: Array<Promise<void>> = [];
  private hasEngineLeft = false;
  private promptCount = 0;

  async start(): Promise<void> {
    await this.harness.start();
    await this.referenceEngine.start();
  }

  async stop(): Promise<void> {
    await Promise.all(this.pendingStops);
    await this.harness.stop();
    await this.referenceEngine.stop();
  }

  /** Applies the changes of a round, then sends its requests concurrently. */
  async runRound({changes, requests}: Round): Promise<void> {
    const stopChanges = changes.filter(({type}) => type === 'stop_entry');
    for (const change of changes) {
      if (change.type !== 'stop_entry') await this.applyChange(change);
    }
    const calls = requests.map(step => this.send(step));
    for (const change of stopChanges) await this.applyChange(change);
    const observed = await Promise.all(calls);
    this.observedRequests.push(...observed);
    this.checkSessions(observed);
    this.checkRevisions();
    await this.replaceEntries();
  }

  /**
   * Ends the outages of all entries that are not lost, then waits until no request is unfinished
   * and each billable one is billed.
   */
  async settle(): Promise<void> {
    for (const faults of this.harness.faults) {
      if (!faults.isLost) faults.outage = 'none';
    }
    await Promise.all(this.pendingStops);
    await this.harness.waitFor(() =>
      this.harness.entries.every((entry, index) => {
        const isLost = this.harness.faults[index]!.isLost;
        return isLost || entry.countUnfinished() === 0;
      }),
    );
    // If an entry is lost before it records the bill of a withheld answer, that bill is lost too.
    const billable = this.observedRequests.filter(
      ({result, step, isEntryLost}) => {
        const isBillable =
          result.isComplete || (result.ran === 'yes' && !isEntryLost);
        return isBillable && step.type !== 'deposit';
      },
    );
    await this.harness.waitFor(async () => {
      const bills = await this.harness.control.listBills();
      const billedRequestIds = new Set(bills.map(({requestId}) => requestId));
      return billable.every(({result}) => {
        const isReplay = result.headers['sycamorehead-replayed'] === 'true';
        return isReplay || billedRequestIds.has(readRequestId(result));
      });
    });
  }

  /** Requests the same answer from an engine without faults. */
  async readExpectedText(prompt: string, tokens: number, version: string) {
    const {body} = await request(
      `${this.referenceEngine.address}/v1/chat/completions`,
      {
        method: 'POST',
        body: JSON.stringify({
          model: `m/${version}`,
          stream: true,
          messages: [{role: 'user', content: prompt}],
          metadata: {stand_in_tokens: String(tokens)},
        }),
      },
    );
    const text = await body.text();
    return [...text.matchAll(/"content":"([^"]*)"/g)]
      .map(([, content]) => content)
      .join('');
  }

  private async send(step: RequestStep): Promise<ObservedRequest> {
    const entryIndex = this.entryIndexes[step.entry]!;
    const caller = this.harness.callers[entryIndex]!;
    const prompt = this.choosePrompt(step);
    const isEntryStopping = this.stoppingEntries.has(entryIndex);
    const answer = this.sendStep(step, entryIndex, prompt);
    // Closes the connections to a lost entry, as a crash of the entry would.
    const disconnectTimer = setTimeout(() => {
      if (this.harness.faults[entryIndex]!.isLost) void caller.stop();
    }, LOST_ENTRY_DISCONNECT_MS);
    const result = await answer;
    clearTimeout(disconnectTimer);
    const isEntryLost = this.harness.faults[entryIndex]!.isLost;
    return {step, prompt, result, isEntryLost, isEntryStopping};
  }

  private sendStep(
    step: RequestStep,
    entryIndex: number,
    prompt: string,
  ): Promise<CallResult> {
    const caller = this.harness.callers[entryIndex]!;
    if (step.type === 'read') return caller.callService('GET', 'orders/read');
    if (step.type === 'deposit') {
      const body = JSON.stringify({amount: step.amount});
      const key = `deposit-${step.key}`;
      return caller.callService('POST', 'orders/once', key, body);
    }
    const {tokens, stream, session, key, disconnectAfterFrames} = step;
    return caller.sendChat({
      prompt,
      tokens,
      stream,
      session: session === undefined ? undefined : `session-${session}`,
      key: key === undefined ? undefined : `chat-${key}`,
      disconnectAfterFrames,
    });
  }

  /** Returns a unique prompt for each request without a key, to detect swapped answers. */
  private choosePrompt(step: RequestStep): string {
    if (step.type !== 'chat') return '';
    if (step.key !== undefined) return `keyed prompt ${step.key}`;
    this.promptCount += 1;
    return `prompt ${this.promptCount}`;
  }

  private readonly changeHandlers: {
    [Type in ChangeStep['type']]: (
      change: Extract<ChangeStep, {type: Type}>,
    ) => void | Promise<void>;
  } = {
    engine_fault: ({engine, fault, afterTokens}) => {
      const {faults} = this.harness.engines[engine]!;
      faults.refuses = fault === 'refuse';
      faults.resetAfterTokens = fault === 'reset' ? afterTokens : undefined;
      faults.truncateAfterTokens =
        fault === 'truncate' ? afterTokens : undefined;
      faults.silentAfterTokens = fault === 'silent' ? afterTokens : undefined;
    },
    service_fault: ({service, resets}) => {
      this.harness.services[service]!.faults.resetsAfterRun = resets;
    },
    outage: ({entry, outage}) => {
      this.harness.faults[this.entryIndexes[entry]!]!.outage = outage;
    },
    lose_entry: ({entry, lossPoint}) => {
      this.harness.faults[this.entryIndexes[entry]!]!.lossPoint = lossPoint;
    },
    withdraw: () => this.withdrawVersion(),
    forbid: () => this.withdrawVersionPermission(),
    leave: ({engine}) => this.announceEngineLeaving(engine),
    stop_entry: async ({entry}) => {
      const entryIndex = this.entryIndexes[entry]!;
      if (this.stoppingEntries.has(entryIndex)) return;
      this.stoppingEntries.add(entryIndex);
      this.pendingStops.push(this.harness.stopEntry(entryIndex));
    },
  };

  private async applyChange(change: ChangeStep): Promise<void> {
    const handler = this.changeHandlers[change.type] as (
      change: ChangeStep,
    ) => void | Promise<void>;
    await handler(change);
  }

  private async withdrawVersion(): Promise<void> {
    if (this.unavailableVersions.has('v2')) return;
    const versions = [{model: 'm', version: 'v2'}];
    await this.harness.publish({
      withdraw: {versions, customers: [], services: []},
    });
    this.markVersionUnavailable();
  }

  private async withdrawVersionPermission(): Promise<void> {
    if (this.unavailableVersions.has('v2')) return;
    await this.harness.publish({
      change: {
        versions: [],
        services: [],
        customers: [{customer: 'c', models: [{model: 'm', versions: ['v1']}]}],
      },
    });
    this.markVersionUnavailable();
  }

  private markVersionUnavailable(): void {
    this.unavailableVersions.add('v2');
    for (const engine of this.harness.engines) {
      const runsBefore = engine.runs.length;
      this.forbiddenWork.push({engine, runsBefore, version: 'm/v2'});
    }
  }

  private announceEngineLeaving(index: number): void {
    if (this.hasEngineLeft) return;
    this.hasEngineLeft = true;
    const engine = this.harness.engines[index]!;
    this.harness.announceLeaving(`engine-${index + 1}`);
    this.forbiddenWork.push({engine, runsBefore: engine.runs.length});
  }

  /**
   * Checks that sessions keep their version while it is available. A round withdraws versions only
   * before it sends its requests.
   */
  private checkSessions(observed: readonly ObservedRequest[]): void {
    for (const {step, result} of observed) {
      const version = result.headers['sycamorehead-version'];
      if (!hasComparableSession(step) || version === undefined) continue;
      const previous = this.sessionVersions.get(step.session);
      const isUnavailable =
        previous !== undefined && this.unavailableVersions.has(previous);
      if (previous !== undefined && !isUnavailable) {
        assert.equal(
          version,
          previous,
          `session ${step.session} changed its version`,
        );
      }
      this.sessionVersions.set(step.session, String(version));
    }
  }

  private checkRevisions(): void {
    for (const entry of this.harness.entries) {
      const {revision} = entry.configuration.getStatus();
      const previous = this.entryRevisions.get(entry) ?? 0;
      assert.ok(revision >= previous, 'the revision of an entry decreased');
      this.entryRevisions.set(entry, revision);
    }
  }

  /** Starts a replacement for each entry that is lost or stopping. */
  private async replaceEntries(): Promise<void> {
    for (const [position, entryIndex] of this.entryIndexes.entries()) {
      const isLost = this.harness.faults[entryIndex]!.isLost;
      if (!isLost && !this.stoppingEntries.has(entryIndex)) continue;
      this.entryIndexes[position] = this.harness.entries.length;
      await this.harness.startEntry(`entry-${this.entryIndexes[position] + 1}`);
      const entry = this.harness.entries[this.entryIndexes[position]]!;
      await this.harness.waitFor(() => entry.isReady());
    }
  }
}

/** Reads the request identifier from the response headers. */
export function readRequestId(result: CallResult): string {
  return String(result.headers['sycamorehead-request-id']);
}

function hasComparableSession(
  step: RequestStep,
): step is ChatStep & {readonly session: number} {
  // The replay of a keyed request names the version that ran it, not the session's current one.
  return (
    step.type === 'chat' && step.session !== undefined && step.key === undefined
  );
}
