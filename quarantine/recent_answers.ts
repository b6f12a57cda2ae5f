/**
 * Tracks which queries leafs have recently answered, so that an unrelated crash is not attributed
 * to them.
 *
 * @module
 */

/** Minimum time for which an answer is considered recent, in milliseconds. */
const RECENT_MS = 1_000;

/** Set of recently answered queries. Entries expire after one to two times `RECENT_MS`. */
export class RecentAnswers {
  #current = new Set<string>();
  #previous = new Set<string>();
  #sinceMs = Number.NEGATIVE_INFINITY;

  /**
   * Adds an answered query.
   *
   * @param fingerprint - Fingerprint of the query.
   * @param nowMs - Current time, in milliseconds.
   */
  add(fingerprint: string, nowMs: number): void {
    this.#rotate(nowMs);
    this.#current.add(fingerprint);
  }

  /**
   * Returns whether a query was recently answered.
   *
   * @param fingerprint - Fingerprint of the query.
   * @param nowMs - Current time, in milliseconds.
   * @returns Whether the query was recently answered.
   */
  has(fingerprint: string, nowMs: number): boolean {
    this.#rotate(nowMs);
    return this.#current.has(fingerprint) || this.#previous.has(fingerprint);
  }

  #rotate(nowMs: number): void {
    const ageMs = nowMs - this.#sinceMs;
    if (ageMs < RECENT_MS) {
      return;
    }
    this.#previous = ageMs < 2 * RECENT_MS ? this.#current : new Set();
    this.#current = new Set();
    this.#sinceMs = nowMs;
  }
}
