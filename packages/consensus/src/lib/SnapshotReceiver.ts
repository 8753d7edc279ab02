import {createHash} from 'node:crypto';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {SnapshotRequest} from './consensusMessages.js';

const MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024;

/** The progress of a snapshot transfer. @internal */
export interface TransferProgress {
  readonly nextOffset: number;
  /** The complete data, present once the last chunk has arrived. */
  readonly data?: Buffer;
}

/**
 * Assembles a snapshot from its chunks. Chunks may arrive twice or out of order, so each reply
 * contains the offset at which the next chunk should begin.
 *
 * @internal
 */
export class SnapshotReceiver {
  private transferKey = '';
  private chunks: Buffer[] = [];
  private receivedBytes = 0;

  /** Adds one chunk and returns the progress of the transfer. */
  receive(request: SnapshotRequest): TransferProgress {
    if (request.totalBytes > MAX_SNAPSHOT_BYTES) {
      throw new SycamoreheadError(
        'body_too_large',
        `snapshot of ${request.totalBytes} bytes exceeds ${MAX_SNAPSHOT_BYTES}`,
      );
    }
    const key = `${request.index} ${request.snapshotTerm} ${request.digest}`;
    if (key !== this.transferKey) this.reset(key);
    if (request.offset !== this.receivedBytes)
      return {nextOffset: this.receivedBytes};
    const chunk = Buffer.from(request.chunk, 'base64');
    this.chunks.push(chunk);
    this.receivedBytes += chunk.length;
    if (this.receivedBytes < request.totalBytes)
      return {nextOffset: this.receivedBytes};
    return this.finish(request);
  }

  private reset(key: string): void {
    this.transferKey = key;
    this.chunks = [];
    this.receivedBytes = 0;
  }

  private finish(request: SnapshotRequest): TransferProgress {
    const data = Buffer.concat(this.chunks);
    this.reset('');
    const digest = createHash('sha256').update(data).digest('hex');
    if (digest !== request.digest) return {nextOffset: 0};
    return {nextOffset: data.length, data};
  }
}
