const NO_BYTES = Buffer.alloc(0);

/**
 * Bytes to which chunks are appended. Its memory doubles when it is full, so that many small chunks cost
 * no more than a few large ones, and does not keep that of the chunks.
 *
 * @internal
 */
export class GrowingBuffer {
  private memory: Buffer = NO_BYTES;
  private used = 0;

  // Commands.

  append(chunk: Buffer): void {
    const needed = this.used + chunk.length;
    if (needed > this.memory.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(needed, this.memory.length * 2),
      );
      this.memory.copy(grown, 0, 0, this.used);
      this.memory = grown;
    }
    chunk.copy(this.memory, this.used);
    this.used = needed;
  }

  /** Removes bytes at the start and returns them. */
  take(count: number): Buffer {
    const taken = Buffer.from(this.memory.subarray(0, count));
    this.memory.copyWithin(0, count, this.used);
    this.used -= count;
    if (this.used === 0) this.memory = NO_BYTES;
    return taken;
  }

  // Queries.

  get length(): number {
    return this.used;
  }

  /** The bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.memory.subarray(0, this.used);
  }
}
