import type {Socket} from 'node:net';
import {UnfinishedHead, estimateStringBytes} from './HeldHeads.js';

/** The parser of node:http, which keeps the fields of a head or of trailers until they are complete. */
interface HttpParser {
  _headers?: readonly string[];
}

function findParser(socket: Socket): HttpParser | undefined {
  return (socket as Socket & {parser?: HttpParser | null}).parser ?? undefined;
}

/**
 * The fields of a head or of trailers that the parser of one connection keeps.
 *
 * @internal
 */
export class UnfinishedFields implements UnfinishedHead {
  /** Names and values that have been measured, and the heap that they take. */
  private count = 0;
  private bytes = 0;

  constructor(private readonly socket: Socket) {}

  /** Estimates the heap that they take, in bytes. */
  measure(): number {
    const fields = findParser(this.socket)?._headers ?? [];
    if (fields.length < this.count) {
      this.count = 0;
      this.bytes = 0;
    }
    if (fields.length > this.count) {
      this.bytes += estimateStringBytes(fields.slice(this.count));
      this.count = fields.length;
    }
    return this.bytes;
  }

  /** Drops them and closes the connection, which would keep them until the event loop comes to close it. */
  close(): void {
    const parser = findParser(this.socket);
    if (parser) parser._headers = [];
    this.socket.destroy();
  }
}
