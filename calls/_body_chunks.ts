/**
 * Collects the body of an answer, at a cost in memory that does not grow with the number of chunks.
 *
 * @module
 */

/** Number of chunks that are merged into one, as a buffer costs far more than a few bytes. */
const MERGED_CHUNKS = 1_024;

/** The chunks of one body. */
export class BodyChunks {
  #merged: Array<Buffer> = [];
  #recent: Array<Buffer> = [];
  #sizeBytes = 0;

  /** Total size of the chunks, in bytes. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - The chunk.
   */
  add(chunk: Buffer): void {
    this.#sizeBytes += chunk.length;
    this.#recent.push(chunk);
    if (this.#recent.length === MERGED_CHUNKS) {
      this.#merged.push(Buffer.concat(this.#recent));
      this.#recent = [];
    }
  }

  /**
   * Returns the body and releases the chunks.
   *
   * @returns The body, without a copy if it is a single chunk.
   */
  take(): Buffer {
    const chunks = this.#merged.concat(this.#recent);
    this.clear();
    const [first = Buffer.alloc(0)] = chunks;
    return chunks.length > 1 ? Buffer.concat(chunks) : first;
  }

  /** Releases the chunks. */
  clear(): void {
    this.#merged = [];
    this.#recent = [];
  }
}
