import type {IncomingMessage} from 'node:http';

/** Why a body is not read on: there is no room for it, or it waits for its turn. */
type PauseReason = 'room' | 'turn';

const flows = new WeakMap<IncomingMessage, BodyFlow>();

/**
 * Returns the flow of the body of a request.
 *
 * @example
 * ```ts
 * getBodyFlow(message).pause('room');
 * ```
 * @internal
 */
export function getBodyFlow(message: IncomingMessage): BodyFlow {
  const known = flows.get(message);
  if (known) return known;
  const flow = new BodyFlow(message);
  flows.set(message, flow);
  return flow;
}

/**
 * Pauses the connection of a request while its body may not be read on, for any reason. The message stays in
 * flow, so that the chunks that have been read already are copied rather than queued one by one.
 *
 * @internal
 */
class BodyFlow {
  /** Bytes of data that have been read. */
  readBytes = 0;
  /** Bytes of the connection that have arrived since the last data. */
  silentBytes = 0;
  /** Bytes of data when the connection was read last. */
  private countedBytes = 0;
  private readonly reasons = new Set<PauseReason>();
  /** Whether the message has asked for more during the pause. */
  private isAsked = false;
  /** Whether this flow has paused the connection, which the server had not. */
  private hasPaused = false;

  constructor(private readonly message: IncomingMessage) {}

  /** Counts bytes of the connection that the server has just read, and returns how many carry no data. */
  countInput(bytes: number): number {
    const dataBytes = this.readBytes + this.message.readableLength;
    const addedBytes = dataBytes - this.countedBytes;
    this.countedBytes = dataBytes;
    this.silentBytes = addedBytes > 0 ? 0 : this.silentBytes + bytes;
    return bytes - addedBytes;
  }

  pause(reason: PauseReason): void {
    if (this.reasons.has(reason)) return;
    this.reasons.add(reason);
    this.message._read = () => (this.isAsked = true);
    // Reading the chunk may have scheduled to resume the socket, which a pause before that does not prevent.
    process.nextTick(() => this.applyPause());
  }

  resume(reason: PauseReason): void {
    if (!this.reasons.delete(reason) || this.reasons.size > 0) return;
    Reflect.deleteProperty(this.message, '_read');
    const {message, isAsked, hasPaused} = this;
    this.isAsked = false;
    this.hasPaused = false;
    if (isAsked) message._read(0);
    else if (hasPaused) message.socket.resume();
  }

  /** Pauses the connection again if the server has resumed it meanwhile. */
  applyPause(): void {
    const {socket} = this.message;
    if (this.reasons.size === 0 || socket.isPaused()) return;
    this.hasPaused = true;
    socket.pause();
  }
}
