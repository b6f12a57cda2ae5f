/**
 * Remembers which queries leafs have just answered, so that a leaf that is lost meanwhile is not held
 * against them.
 *
 * @module
 */

/**
 * Time for which an answer counts at least, in milliseconds: the parts of one query come in within a few
 * hundred, and a query that is asked for all the time is answered again within it.
 */
const RECENT_MS = 1_000;

/** Queries answered within the last one to two times that time. */
export class RecentAnswers {
  #current = new Set<string>();
  #before = new Set<string>();
  #sinceMs = Number.NEGATIVE_INFINITY;

  /**
   * Notes an answer.
   *
   * @param fingerprint - The query.
   * @param nowMs - The present moment.
   */
  add(fingerprint: string, nowMs: number): void {
    this.#turn(nowMs);
    this.#current.add(fingerprint);
  }

  /**
   * Tells whether a query was answered of late.
   *
   * @param fingerprint - The query.
   * @param nowMs - The present moment.
   * @returns Whether it was.
   */
  has(fingerprint: string, nowMs: number): boolean {
    this.#turn(nowMs);
    return this.#current.has(fingerprint) || this.#before.has(fingerprint);
  }

  #turn(nowMs: number): void {
    const ageMs = nowMs - this.#sinceMs;
    if (ageMs < RECENT_MS) {
      return;
    }
    this.#before = ageMs < 2 * RECENT_MS ? this.#current : new Set();
    this.#current = new Set();
    this.#sinceMs = nowMs;
  }
}
