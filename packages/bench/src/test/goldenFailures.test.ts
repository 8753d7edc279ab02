import {test} from 'node:test';
import type {EngineFaults} from '@sycamorehead/stand-ins';
import type {HarnessOptions} from './DeliveryHarness.js';
import {GoldenCall, GoldenChat, GoldenSession} from './GoldenSession.js';

const CHAT: GoldenChat = {
  title: 'proof',
  customer: 'bodas-del-este',
  model: 'inscription-small',
  kind: 'proof',
  prompt: 'Proof: Ana y Luis',
  tokens: 6,
};
const DEPOSIT: GoldenCall = {
  title: 'deposit',
  customer: 'familia-sosa',
  method: 'POST',
  path: 'orders/deposits',
  body: {order: 7, amount: 20},
  key: 'deposit-7',
};
const RESENT_DEPOSIT: GoldenCall = {...DEPOSIT, title: 'resent', entry: 1};

interface GoldenFailure {
  readonly options?: Partial<HarnessOptions>;
  run(session: GoldenSession): Promise<void>;
}

/**
 * Sends a chat to an engine with faults. The entry resumes the answer until an attempt completes it
 * or all attempts have failed.
 */
async function runWithEngineFault(
  session: GoldenSession,
  faults: Partial<EngineFaults>,
): Promise<void> {
  Object.assign(session.harness.engines[0]!.faults, faults);
  await session.sendChat(CHAT);
}

/** One session for each class of failure. */
const FAILURES: Readonly<Record<string, GoldenFailure>> = {
  'engine-reset': {
    run: session => runWithEngineFault(session, {resetAfterTokens: 3}),
  },
  'engine-truncated': {
    run: session => runWithEngineFault(session, {truncateAfterTokens: 4}),
  },
  'engine-silent': {
    run: session => runWithEngineFault(session, {silentAfterTokens: 2}),
  },
  'engine-never-whole': {
    run: session => runWithEngineFault(session, {truncateAfterTokens: 0}),
  },
  'engine-refuses': {
    run: session => runWithEngineFault(session, {refuses: true}),
  },
  'no-backend-server': {
    options: {engines: 0},
    run: session => session.sendChat(CHAT),
  },
  'total-deadline': {
    options: {
      entryOptions: {
        timeouts: {answerMs: 1_000, callerStallMs: 500, commitWaitMs: 500},
        backendTimeouts: {
          connectMs: 1_000,
          firstByteMs: 5_000,
          betweenFramesMs: 5_000,
          serviceMs: 5_000,
        },
      },
    },
    run: session => runWithEngineFault(session, {silentAfterTokens: 2}),
  },
  'deposit-reset-after-run': {
    async run(session) {
      session.harness.services[0]!.faults.resetsAfterRun = true;
      await session.callService(DEPOSIT);
      session.harness.services[0]!.faults.resetsAfterRun = false;
      await session.callService(RESENT_DEPOSIT);
    },
  },
  'deposit-service-silent': {
    async run(session) {
      session.harness.services[0]!.faults.silentAfterRun = true;
      await session.callService(DEPOSIT);
    },
  },
  'deposit-entry-lost-after-dispatch': {
    async run(session) {
      const {harness} = session;
      harness.faults[0]!.lossPoint = {method: 'finishRequest', when: 'before'};
      const lost = harness.callers[0]!.callService(
        'POST',
        DEPOSIT.path,
        DEPOSIT.key,
        JSON.stringify(DEPOSIT.body),
        `example-key-of-${DEPOSIT.customer}`,
      );
      await harness.waitFor(() => harness.faults[0]!.isLost);
      await session.callService(RESENT_DEPOSIT);
      await harness.callers[0]!.stop();
      session.transcript.addLine(
        `first caller's status: ${(await lost).status}`,
      );
    },
  },
  'deposit-key-reused': {
    async run(session) {
      await session.callService(DEPOSIT);
      const body = {order: 8, amount: 30};
      await session.callService({
        ...RESENT_DEPOSIT,
        title: 'another body',
        body,
      });
    },
  },
  'deposit-no-quorum-at-intent': {
    async run(session) {
      session.harness.faults[0]!.outage = 'unseen';
      await session.callService(DEPOSIT);
      await session.callService(RESENT_DEPOSIT);
    },
  },
  'no-quorum-before-bill': {
    async run(session) {
      const {harness} = session;
      harness.faults[0]!.outage = 'unseen';
      await session.sendChat(CHAT);
      harness.faults[0]!.outage = 'none';
      await harness.waitFor(async () => {
        const bills = await harness.control.listBills();
        return bills.length === 1;
      });
    },
  },
  'version-withdrawn': {
    async run(session) {
      const headers = {'sycamorehead-session': 'wedding-7'};
      const chat = {...CHAT, model: 'auto', headers};
      await session.sendChat(chat);
      await session.harness.publish({
        withdraw: {
          versions: [{model: 'inscription-large', version: 'v1'}],
          customers: [],
          services: [],
        },
      });
      await session.sendChat({...chat, title: 'next of the session', entry: 1});
      const model = 'inscription-large';
      await session.sendChat({...CHAT, title: 'the withdrawn model', model});
    },
  },
  'entry-stopping': {
    async run(session) {
      const {harness} = session;
      // A long answer keeps the stopping entry alive while it refuses new requests.
      harness.engines[0]!.faults.slowFactor = 100;
      const long = harness.callers[0]!.sendChat({
        customerKey: `example-key-of-${CHAT.customer}`,
        model: CHAT.model,
        prompt: 'long',
        tokens: 4,
      });
      await harness.waitFor(() => harness.engines[0]!.runs.length === 1);
      const stopped = harness.stopEntry(0);
      await harness.waitFor(async () => {
        const {kind} = await harness.callers[0]!.sendChat();
        return kind === 'stopping';
      });
      await session.callService({...DEPOSIT, title: 'refused'});
      await session.callService({
        ...RESENT_DEPOSIT,
        title: 'sent to another entry',
      });
      const {isComplete, text} = await long;
      await stopped;
      session.transcript.addLine(`long answer whole=${isComplete}: ${text}`);
    },
  },
  'caller-gone': {
    async run(session) {
      const {harness} = session;
      harness.engines[0]!.faults.silentAfterTokens = 3;
      const result = await harness.callers[0]!.sendChat({
        customerKey: `example-key-of-${CHAT.customer}`,
        model: CHAT.model,
        prompt: CHAT.prompt,
        tokens: CHAT.tokens,
        disconnectAfterFrames: 3,
        beforeDisconnect: () =>
          harness.waitFor(
            () => harness.engines[0]?.runs[0]?.outcome === 'faulted',
          ),
      });
      session.transcript.addLine(`caller left after: ${result.text}`);
      await harness.waitFor(async () => {
        const bills = await harness.control.listBills();
        return bills.length === 1;
      });
    },
  },
  'lease-lapsed': {
    options: {leaseMs: 700},
    async run(session) {
      const [entry] = session.harness.entries;
      session.harness.faults[0]!.outage = 'unseen';
      await session.harness.waitFor(() => !entry!.isReady());
      await session.sendChat(CHAT);
      await session.callService(DEPOSIT);
    },
  },
};

for (const [name, {options, run}] of Object.entries(FAILURES)) {
  test(`golden session of a failure: ${name}`, async () => {
    const session = await GoldenSession.start('consorcio', options);
    try {
      await run(session);
      await session.compareWithGolden(`failure-${name}`);
    } finally {
      await session.stop();
    }
  });
}
