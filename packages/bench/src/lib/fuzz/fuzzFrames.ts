import fc from 'fast-check';
import {SycamoreheadError} from '@sycamorehead/schema';
import {
  FrameDecoder,
  MessageChannel,
  PeerLink,
  encodeFrame,
} from '@sycamorehead/wire';
import type {FuzzTarget} from './fuzzTypes.js';
import {mutateBytes} from './mutateBytes.js';

const CALL = {jsonrpc: '2.0', id: 1, method: 'double', params: {value: 2}};
const NOTICE = {jsonrpc: '2.0', method: 'double', params: {value: 2}};
const ANSWER = {jsonrpc: '2.0', id: 1, result: 4};

function checkDecoder(bytes: Buffer, cut: number): unknown[] {
  const decoder = new FrameDecoder();
  const at = Math.floor(cut * bytes.length);
  try {
    return [
      ...decoder.push(bytes.subarray(0, at)),
      ...decoder.push(bytes.subarray(at)),
    ];
  } catch (error) {
    const isExpected =
      error instanceof SycamoreheadError && error.kind === 'frame_invalid';
    if (!isExpected) throw error;
    return [];
  }
}

/** Feeds messages to a link, which may answer or close, but must not throw. */
async function checkLink(messages: readonly unknown[]): Promise<void> {
  let receive: (message: unknown) => void = () => {};
  const channel: MessageChannel = {
    open: onMessage => {
      receive = onMessage;
    },
    send: () => {},
    close: () => {},
  };
  const link = new PeerLink(channel, {
    double: ({value}: {value: number}) => ({value: value * 2}),
  });
  for (const message of messages) receive(message);
  await new Promise(resolve => setImmediate(resolve));
  link.close();
}

/** Fuzzes the frame decoder and the link behind it. @internal */
export const fuzzFrames: FuzzTarget = async ({seed, cases, budgetMs}) => {
  const frames = [CALL, NOTICE, ANSWER, [CALL, CALL]].map(message =>
    encodeFrame(message),
  );
  const bytes = fc.oneof(
    mutateBytes([...frames, Buffer.concat(frames)]),
    fc.uint8Array().map(array => Buffer.from(array)),
  );
  const cut = fc.double({min: 0, max: 1, noNaN: true});
  await fc.assert(
    fc.asyncProperty(bytes, cut, fc.jsonValue(), async (input, at, value) => {
      await checkLink([...checkDecoder(input, at), value]);
    }),
    {seed, numRuns: cases, interruptAfterTimeLimit: budgetMs},
  );
};
