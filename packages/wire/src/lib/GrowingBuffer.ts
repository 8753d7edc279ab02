const NO_BYTES = Buffer.alloc(0);

/**
 * Bytes to which chunks are appended. Its memory doubles when it is full, so that many small chunks cost
 * no more than a few large ones, and does not keep that of the chunks.
 *
 * @public
 */
export class GrowingBuffer {
  private memory: Buffer = NO_BYTES;
  private used = 0;

  // Commands.

  append(chunk: Buffer): void {
    const needed = this.used + chunk.length;
    if (needed > this.memory.length) {
      this.reserve(Math.max(needed, this.memory.length * 2));
    }
    chunk.copy(this.memory, this.used);
    this.used = needed;
  }

  /** Grows to a capacity in bytes. The pages of memory that are never written cost nothing. */
  reserve(capacity: number): void {
    if (capacity <= this.memory.length) return;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.memory.copy(grown, 0, 0, this.used);
    this.memory = grown;
  }

  /** Removes bytes at the start and returns them. */
  take(count: number): Buffer {
    const taken = Buffer.from(this.memory.subarray(0, count));
    this.drop(count);
    return taken;
  }

  /** Removes bytes at the start. */
  drop(count: number): void {
    this.memory.copyWithin(0, count, this.used);
    this.used -= count;
    if (this.used === 0) this.memory = NO_BYTES;
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
