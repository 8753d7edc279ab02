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

const REQUEST = {jsonrpc: '2.0', id: 1, method: 'double', params: {value: 2}};
const NOTIFICATION = {jsonrpc: '2.0', method: 'double', params: {value: 2}};
const RESPONSE = {jsonrpc: '2.0', id: 1, result: 4};

/** Decodes bytes in two chunks; only `frame_invalid` is an expected error. */
function decodeInTwoChunks(bytes: Buffer, splitFraction: number): unknown[] {
  const decoder = new FrameDecoder();
  const splitOffset = Math.floor(splitFraction * bytes.length);
  try {
    return [
      ...decoder.push(bytes.subarray(0, splitOffset)),
      ...decoder.push(bytes.subarray(splitOffset)),
    ];
  } catch (error) {
    const isExpected =
      error instanceof SycamoreheadError && error.kind === 'frame_invalid';
    if (!isExpected) throw error;
    return [];
  }
}

/** Delivers messages to a peer link, which may respond or close but must not throw. */
async function deliverToLink(messages: readonly unknown[]): Promise<void> {
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

/** Fuzzes the frame decoder and the peer link that receives its messages. @internal */
export const fuzzFrames: FuzzTarget = async ({seed, cases, budgetMs}) => {
  const frames = [REQUEST, NOTIFICATION, RESPONSE, [REQUEST, REQUEST]].map(
    message => encodeFrame(message),
  );
  const bytes = fc.oneof(
    mutateBytes([...frames, Buffer.concat(frames)]),
    fc.uint8Array().map(array => Buffer.from(array)),
  );
  const splitFraction = fc.double({min: 0, max: 1, noNaN: true});
  await fc.assert(
    fc.asyncProperty(
      bytes,
      splitFraction,
      fc.jsonValue(),
      async (input, split, value) => {
        await deliverToLink([...decodeInTwoChunks(input, split), value]);
      },
    ),
    {seed, numRuns: cases, interruptAfterTimeLimit: budgetMs},
  );
};
