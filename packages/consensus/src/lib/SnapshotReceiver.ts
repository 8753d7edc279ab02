import {createHash} from 'node:crypto';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {SnapshotRequest} from './consensusMessages.js';

const MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024;

/** Where a transfer stands. @internal */
export interface TransferProgress {
  readonly nextOffset: number;
  /** The whole data, once the last chunk is there. */
  readonly data?: Buffer;
}

/**
 * Collects the chunks of one snapshot. Chunks may come twice or out of order: each answer names
 * the offset that is wanted next.
 *
 * @internal
 */
export class SnapshotReceiver {
  private key = '';
  private chunks: Buffer[] = [];
  private received = 0;

  /** Takes one chunk. */
  receive(request: SnapshotRequest): TransferProgress {
    if (request.totalBytes > MAX_SNAPSHOT_BYTES) {
      throw new SycamoreheadError(
        'body_too_large',
        `snapshot of ${request.totalBytes} bytes exceeds ${MAX_SNAPSHOT_BYTES}`,
      );
    }
    const key = `${request.index} ${request.snapshotTerm} ${request.digest}`;
    if (key !== this.key) this.begin(key);
    if (request.offset !== this.received) return {nextOffset: this.received};
    const chunk = Buffer.from(request.chunk, 'base64');
    this.chunks.push(chunk);
    this.received += chunk.length;
    if (this.received < request.totalBytes) return {nextOffset: this.received};
    return this.finish(request);
  }

  private begin(key: string): void {
    this.key = key;
    this.chunks = [];
    this.received = 0;
  }

  private finish(request: SnapshotRequest): TransferProgress {
    const data = Buffer.concat(this.chunks);
    this.begin('');
    const digest = createHash('sha256').update(data).digest('hex');
    if (digest !== request.digest) return {nextOffset: 0};
    return {nextOffset: data.length, data};
  }
}
