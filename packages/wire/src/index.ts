/** JSON-RPC links over length-prefixed frames between the project's own processes. */
export {
  FrameDecoder,
  MAX_FRAME_BYTES,
  encodeFrame,
} from './lib/FrameDecoder.js';
export {createSocketChannel} from './lib/MessageChannel.js';
export type {MessageChannel} from './lib/MessageChannel.js';
export {DEFAULT_LINK_TIMEOUTS, PeerLink} from './lib/PeerLink.js';
export type {LinkTimeouts, MethodHandler, MethodTable} from './lib/PeerLink.js';
export {HELLO_METHOD, WireServer} from './lib/WireServer.js';
export type {Hello, WireServerOptions} from './lib/WireServer.js';
export {connectPeer, parsePeerAddress} from './lib/connectPeer.js';
export type {ConnectOptions, PeerAddress} from './lib/connectPeer.js';
export {startListening} from './lib/startListening.js';
export {readBounded} from './lib/readBounded.js';
export {ClientLimits} from './lib/ClientLimits.js';
export type {ClientUsage, MachineLimits} from './lib/ClientLimits.js';
export {ConnectionGuard} from './lib/ConnectionGuard.js';
export type {ConnectionLimits, HeadLimit} from './lib/ConnectionGuard.js';
export {GrowingBuffer} from './lib/GrowingBuffer.js';
export {HeldBytes} from './lib/HeldBytes.js';
export type {BodyListener, ClientRefusal, HeldBody} from './lib/HeldBytes.js';
export {HeldHeads} from './lib/HeldHeads.js';
export type {HeadBudget, UnfinishedHead} from './lib/HeldHeads.js';
export {readHeldBody} from './lib/readHeldBody.js';
export type {HeldBodyOptions} from './lib/readHeldBody.js';
export {UnreadAnswers} from './lib/UnreadAnswers.js';
