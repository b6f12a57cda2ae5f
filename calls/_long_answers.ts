/**
 * Bounds the memory of all answers that a box is reading: a few answers of the maximum length at once
 * would use up its memory.
 *
 * @module
 */

/** Maximum total length of the long answers that are being read, in bytes. */
const MAX_TOTAL_BYTES = 96 * 1_048_576;

/** Length from which an answer counts, in bytes; shorter ones cost nothing here. */
const MIN_LONG_BYTES = 262_144;

/** An answer that is being read. */
export interface GrowingAnswer {
  /** Its length so far, in bytes. */
  readonly sizeBytes: number;
  /** Fails its call and closes the connection. */
  failTooLong(): void;
}

/** The long answers of a box. */
export class LongAnswers {
  readonly #open = new Set<GrowingAnswer>();

  /**
   * Records that an answer has grown. If the total is exceeded, the longest answers fail.
   *
   * @param answer - The answer.
   */
  recordGrowth(answer: GrowingAnswer): void {
    if (answer.sizeBytes < MIN_LONG_BYTES) {
      return;
    }
    this.#open.add(answer);
    while (this.#totalBytes() > MAX_TOTAL_BYTES) {
      this.#failLongest();
    }
  }

  /**
   * Records that an answer has ended, or that its call has failed.
   *
   * @param answer - The answer.
   */
  remove(answer: GrowingAnswer): void {
    this.#open.delete(answer);
  }

  #totalBytes(): number {
    let totalBytes = 0;
    for (const { sizeBytes } of this.#open) {
      totalBytes += sizeBytes;
    }
    return totalBytes;
  }

  #failLongest(): void {
    let longest: GrowingAnswer | undefined;
    for (const answer of this.#open) {
      if (longest === undefined || answer.sizeBytes > longest.sizeBytes) {
        longest = answer;
      }
    }
    if (longest !== undefined) {
      this.#open.delete(longest);
      longest.failTooLong();
    }
  }
}
