import assert from 'node:assert/strict';
import {StandInEngine} from '@sycamorehead/stand-ins';
import {request} from 'undici';
import {DeliveryHarness} from './DeliveryHarness.js';
import type {CallerView} from './TestCaller.js';
import type {ChangeStep, ChatStep, RequestStep, Round} from './scenario.js';

const ENTRIES = 3;
const LOST_CALLER_PATIENCE_MS = 1_200;
const BALANCER_LAG_MS = 150;
const LEASE_MS = 1_500;
const SPEED = {slots: 64, stepMs: 1, stepMsPerJob: 0, prefillTokensPerMs: 1e3};

/** A request with what its caller saw. */
export interface SeenRequest {
  readonly step: RequestStep;
  readonly prompt: string;
  readonly view: CallerView;
  /** Whether its entry was lost while it ran. */
  readonly isEntryLost: boolean;
  readonly isEntryStopping: boolean;
}

/** New work that must not appear: on a server, or for a version. */
interface Prohibition {
  readonly engine: StandInEngine;
  readonly runsBefore: number;
  /** Absent where no work at all may come. */
  readonly version?: string;
}

/**
 * Runs one scenario against entries, control and stand-ins, and keeps what each end saw.
 */
export class ScenarioRun {
  readonly harness = new DeliveryHarness({
    entries: ENTRIES,
    engines: 2,
    replicas: 2,
    leaseMs: LEASE_MS,
    entryOptions: {balancerLagMs: BALANCER_LAG_MS},
  });
  readonly seen: SeenRequest[] = [];
  readonly prohibitions: Prohibition[] = [];
  /** Version of each session's last answer. */
  private readonly pins = new Map<number, string>();
  private readonly unusable = new Set<string>();
  private readonly revisions = new Map<object, number>();
  private readonly reference = new StandInEngine({
    id: 'reference',
    dataCentre: 'dc-1',
    versions: ['v1', 'v2'].map(version => ({model: 'm', version})),
    speed: SPEED,
    fencing: 'ignored',
    entries: [],
    serverKey: '',
  });
  /** Which of the harness's entries now stands in each place. */
  private readonly places = [0, 1, 2];
  private readonly stopping = new Set<number>();
  private readonly stops: Array<Promise<void>> = [];
  private hasLeft = false;
  private replaced = 0;

  async start(): Promise<void> {
    await this.harness.start();
    await this.reference.start();
  }

  async stop(): Promise<void> {
    await Promise.all(this.stops);
    await this.harness.stop();
    await this.reference.stop();
  }

  /** Makes a round's changes, then its requests at the same time. */
  async runRound({changes, requests}: Round): Promise<void> {
    const during = changes.filter(({type}) => type === 'stop_entry');
    for (const change of changes) {
      if (change.type !== 'stop_entry') await this.apply(change);
    }
    const calls = requests.map(step => this.send(step));
    for (const change of during) await this.apply(change);
    const seen = await Promise.all(calls);
    this.seen.push(...seen);
    this.checkSessions(seen);
    this.checkRevisions();
    await this.replaceEntries();
  }

  /** Ends every fault and waits until what is owed is recorded. */
  async settle(): Promise<void> {
    for (const faults of this.harness.faults) {
      if (!faults.isLost) faults.outage = 'none';
    }
    await Promise.all(this.stops);
    await this.harness.waitFor(() =>
      this.harness.entries.every((entry, index) => {
        const isLost = this.harness.faults[index]!.isLost;
        return isLost || entry.countUnfinished() === 0;
      }),
    );
    // An entry lost before it could record a bill takes the bill of a withheld answer with it.
    const owed = this.seen.filter(({view, step, isEntryLost}) => {
      const isOwed = view.isWhole || (view.ran === 'yes' && !isEntryLost);
      return isOwed && step.type !== 'deposit';
    });
    await this.harness.waitFor(async () => {
      const bills = await this.harness.control.listBills();
      const billed = new Set(bills.map(({requestId}) => requestId));
      return owed.every(({view}) => {
        const isReplay = view.headers['sycamorehead-replayed'] === 'true';
        return isReplay || billed.has(readRequestId(view));
      });
    });
  }

  /** Asks an engine that is never at fault for the same answer. */
  async readExpected(prompt: string, tokens: number, version: string) {
    const {body} = await request(
      `${this.reference.address}/v1/chat/completions`,
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

  private async send(step: RequestStep): Promise<SeenRequest> {
    const place = this.places[step.entry]!;
    const caller = this.harness.callers[place]!;
    const prompt = this.choosePrompt(step);
    const isEntryStopping = this.stopping.has(place);
    const answer = this.call(step, place, prompt);
    // The callers of a lost entry see their connections break.
    const timer = setTimeout(() => {
      if (this.harness.faults[place]!.isLost) void caller.stop();
    }, LOST_CALLER_PATIENCE_MS);
    const view = await answer;
    clearTimeout(timer);
    const isEntryLost = this.harness.faults[place]!.isLost;
    return {step, prompt, view, isEntryLost, isEntryStopping};
  }

  private call(
    step: RequestStep,
    place: number,
    prompt: string,
  ): Promise<CallerView> {
    const caller = this.harness.callers[place]!;
    if (step.type === 'read') return caller.callService('GET', 'orders/read');
    if (step.type === 'deposit') {
      const body = JSON.stringify({amount: step.amount});
      const key = `deposit-${step.key}`;
      return caller.callService('POST', 'orders/once', key, body);
    }
    const {tokens, stream, session, key, leaveAfterFrames} = step;
    return caller.sendChat({
      prompt,
      tokens,
      stream,
      session: session === undefined ? undefined : `session-${session}`,
      key: key === undefined ? undefined : `chat-${key}`,
      leaveAfterFrames,
    });
  }

  /** Each unkeyed request has a prompt of its own, so that mixed answers would show. */
  private choosePrompt(step: RequestStep): string {
    if (step.type !== 'chat') return '';
    if (step.key !== undefined) return `keyed prompt ${step.key}`;
    this.replaced += 1;
    return `prompt ${this.replaced}`;
  }

  private readonly handlers: {
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
      this.harness.faults[this.places[entry]!]!.outage = outage;
    },
    lose_entry: ({entry, lossPoint}) => {
      this.harness.faults[this.places[entry]!]!.lossPoint = lossPoint;
    },
    withdraw: () => this.withdraw(),
    forbid: () => this.withdrawPermission(),
    leave: ({engine}) => this.leaveServer(engine),
    stop_entry: async ({entry}) => {
      const place = this.places[entry]!;
      if (this.stopping.has(place)) return;
      this.stopping.add(place);
      this.stops.push(this.harness.stopEntry(place));
    },
  };

  private async apply(change: ChangeStep): Promise<void> {
    const handler = this.handlers[change.type] as (
      change: ChangeStep,
    ) => void | Promise<void>;
    await handler(change);
  }

  private async withdraw(): Promise<void> {
    if (this.unusable.has('v2')) return;
    const versions = [{model: 'm', version: 'v2'}];
    await this.harness.publish({
      withdraw: {versions, customers: [], services: []},
    });
    this.refuseVersion();
  }

  private async withdrawPermission(): Promise<void> {
    if (this.unusable.has('v2')) return;
    await this.harness.publish({
      change: {
        versions: [],
        services: [],
        customers: [{customer: 'c', models: [{model: 'm', versions: ['v1']}]}],
      },
    });
    this.refuseVersion();
  }

  private refuseVersion(): void {
    this.unusable.add('v2');
    for (const engine of this.harness.engines) {
      const runsBefore = engine.runs.length;
      this.prohibitions.push({engine, runsBefore, version: 'm/v2'});
    }
  }

  private leaveServer(index: number): void {
    if (this.hasLeft) return;
    this.hasLeft = true;
    const engine = this.harness.engines[index]!;
    this.harness.announceLeaving(`engine-${index + 1}`);
    this.prohibitions.push({engine, runsBefore: engine.runs.length});
  }

  /** Within a round nothing is withdrawn, so a session has one version in it. */
  private checkSessions(seen: readonly SeenRequest[]): void {
    for (const {step, view} of seen) {
      const version = view.headers['sycamorehead-version'];
      if (!isPinned(step) || version === undefined) continue;
      const before = this.pins.get(step.session);
      const hasEnded = before !== undefined && this.unusable.has(before);
      if (before !== undefined && !hasEnded) {
        assert.equal(version, before, `session ${step.session} changed`);
      }
      this.pins.set(step.session, String(version));
    }
  }

  private checkRevisions(): void {
    for (const entry of this.harness.entries) {
      const {revision} = entry.configuration.getStatus();
      const before = this.revisions.get(entry) ?? 0;
      assert.ok(revision >= before, 'the revision went back');
      this.revisions.set(entry, revision);
    }
  }

  /** Starts an entry in the place of each one that is lost or stopping. */
  private async replaceEntries(): Promise<void> {
    for (const [index, place] of this.places.entries()) {
      const isLost = this.harness.faults[place]!.isLost;
      if (!isLost && !this.stopping.has(place)) continue;
      this.places[index] = this.harness.entries.length;
      await this.harness.startEntry(`entry-${this.places[index] + 1}`);
      const entry = this.harness.entries[this.places[index]]!;
      await this.harness.waitFor(() => entry.isReady());
    }
  }
}

/** Reads the identifier that a caller was given. */
export function readRequestId(view: CallerView): string {
  return String(view.headers['sycamorehead-request-id']);
}

function isPinned(
  step: RequestStep,
): step is ChatStep & {readonly session: number} {
  // A keyed request's replay shows the version that it ran on, whatever the session's is now.
  return (
    step.type === 'chat' && step.session !== undefined && step.key === undefined
  );
}
