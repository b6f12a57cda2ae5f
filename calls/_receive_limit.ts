/**
 * Bounds the bytes that a leaf sends on a connection. What the bounds on headers and on the decoded
 * body leave out counts as well: line ends, interim responses, and the framing of chunks.
 *
 * @module
 */

/**
 * Bytes of an answer beside its body, which is bounded by itself: several times the head of an
 * answer, and enough for short bodies in chunks of a byte.
 */
export const HEAD_AND_FRAMING_BYTES = 128 * 1_024;

/**
 * Bytes of framing for each byte of the body beyond that. Chunks of a long answer have 400 bytes or
 * more, as the time to read them grows with their number.
 */
const FRAMING_SHARE = 1 / 64;

/** Error of a call whose leaf has sent more bytes than an answer has. */
export class EndlessAnswerError extends Error {
  override readonly name = "EndlessAnswerError";

  constructor() {
    super("leaf sent bytes beyond its answer");
  }
}

/** Counts the bytes of one connection, with and without a call under way. */
export class ReceiveLimit {
  #startBytes = 0;
  #bodyBytes = 0;
  #isAnswerDue = false;

  /**
   * Starts to count for a call.
   *
   * @param readBytes - Bytes read from the connection so far.
   */
  beginCall(readBytes: number): void {
    this.#start(readBytes, true);
  }

  /**
   * Starts to count with no call under way, when the leaf may send nothing.
   *
   * @param readBytes - Bytes read from the connection so far.
   */
  endCall(readBytes: number): void {
    this.#start(readBytes, false);
  }

  /**
   * Adds decoded bytes of the body.
   *
   * @param sizeBytes - Their number.
   */
  addBody(sizeBytes: number): void {
    this.#bodyBytes += sizeBytes;
  }

  /**
   * Returns whether the leaf has sent too much. All bytes that were read must have been parsed.
   *
   * @param readBytes - Bytes read from the connection so far.
   */
  isExceeded(readBytes: number): boolean {
    const otherBytes = readBytes - this.#startBytes - this.#bodyBytes;
    return this.#isAnswerDue
      ? otherBytes > HEAD_AND_FRAMING_BYTES + FRAMING_SHARE * this.#bodyBytes
      : otherBytes > 0;
  }

  #start(readBytes: number, isAnswerDue: boolean): void {
    this.#startBytes = readBytes;
    this.#bodyBytes = 0;
    this.#isAnswerDue = isAnswerDue;
  }
}
