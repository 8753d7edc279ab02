import {readFileSync} from 'node:fs';
import path from 'node:path';
import {computeDigest, parseReleaseNote} from '@sycamorehead/schema';
import {DeliveryHarness, HarnessOptions} from './DeliveryHarness.js';
import {SessionTranscript} from './SessionTranscript.js';

const EXAMPLES = path.resolve(import.meta.dirname, '../../../../examples');

/** A model request in a golden session. */
export interface GoldenChat {
  readonly title: string;
  readonly customer: string;
  readonly model: string;
  readonly kind: string;
  readonly prompt: string;
  readonly tokens: number;
  readonly stream?: boolean;
  readonly entry?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A call of a plain service in a golden session. */
export interface GoldenCall {
  readonly title: string;
  readonly customer: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly key?: string;
  readonly entry?: number;
}

/**
 * Runs a session with a release note of the examples and records what its callers, its operator and
 * the stand-ins observed.
 */
export class GoldenSession {
  readonly transcript = new SessionTranscript();

  private constructor(readonly harness: DeliveryHarness) {}

  /** Starts two entries with an example note, one engine and one replica. */
  static async start(
    user: 'consorcio' | 'falaj',
    options: Partial<HarnessOptions> = {},
  ): Promise<GoldenSession> {
    const text = readFileSync(path.join(EXAMPLES, `${user}.yaml`), 'utf8');
    const note = parseReleaseNote(text);
    const harness = new DeliveryHarness({
      entries: 2,
      engines: 1,
      replicas: 1,
      service: user === 'consorcio' ? 'orders' : 'rota',
      note,
      ...options,
    });
    await harness.start();
    const session = new GoldenSession(harness);
    for (const [index, {url}] of harness.callers.entries()) {
      session.transcript.replaceValue(url, `http://entry-${index + 1}`);
    }
    session.transcript.replaceValue(computeDigest(note), 'NOTE-DIGEST');
    session.transcript.addLine(`# operator: ${user}.yaml`);
    const published = await harness.control.publish(note);
    session.transcript.addLine(JSON.stringify(published));
    return session;
  }

  /** Sends a model request and records the response. */
  async sendChat(chat: GoldenChat): Promise<void> {
    const {title, customer, model, kind, prompt, tokens} = chat;
    const {url} = this.harness.callers[chat.entry ?? 0]!;
    await this.transcript.recordCall({
      title,
      method: 'POST',
      url: `${url}/v1/chat/completions`,
      headers: {
        authorization: `Bearer example-key-of-${customer}`,
        ...chat.headers,
      },
      body: {
        model,
        stream: chat.stream ?? true,
        messages: [{role: 'user', content: prompt}],
        metadata: {kind, stand_in_tokens: String(tokens)},
      },
    });
  }

  /** Calls a plain service and records the response. */
  async callService(call: GoldenCall): Promise<void> {
    const {title, customer, method, body, key} = call;
    const {url} = this.harness.callers[call.entry ?? 0]!;
    await this.transcript.recordCall({
      title,
      method,
      url: `${url}/services/${call.path}`,
      headers: {
        authorization: `Bearer example-key-of-${customer}`,
        ...(key && {'idempotency-key': key}),
      },
      body,
    });
  }

  /** Records the stand-ins' runs and the bills, then compares the transcript with a golden file. */
  async compareWithGolden(name: string): Promise<void> {
    const {harness, transcript} = this;
    transcript.addLine('# stand-ins');
    for (const engine of harness.engines) {
      for (const run of engine.runs) {
        const {id, version, resumedFrom, tokens, outcome} = run;
        transcript.addLine(
          `engine run=${id} version=${version} resumed_from=${resumedFrom} tokens=${tokens} outcome=${outcome}`,
        );
      }
    }
    for (const service of harness.services) {
      for (const run of service.runs) {
        transcript.addLine(
          `service run=${run.method} ${run.path} key=${run.idempotencyKey}`,
        );
      }
    }
    transcript.addLine('# operator');
    const {revision, noteNumber} = await harness.control.readInForce();
    transcript.addLine(`in force: revision=${revision} note=${noteNumber}`);
    for (const bill of await harness.control.listBills()) {
      transcript.addLine(`bill ${JSON.stringify(bill)}`);
    }
    const {totals, unbilled, unknown} = await harness.control.checkLedger();
    for (const total of totals) {
      transcript.addLine(`total ${JSON.stringify(total)}`);
    }
    transcript.addLine(`unbilled=${unbilled.length} unknown=${unknown}`);
    transcript.compareWithGolden(name);
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await this.harness.stop();
  }
}
