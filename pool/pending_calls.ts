/**
 * The calls of one entry that have no result yet.
 *
 * @module
 */

/** Calls without a result, by id: a call may be answered and cancelled at the same time. */
export class PendingCalls {
  readonly #callIds = new Set<string>();

  /** Whether any call has no result. */
  get isEmpty(): boolean {
    return this.#callIds.size === 0;
  }

  /**
   * Adds calls that have arrived. Must be done before they are handled, as some are refused at once.
   *
   * @param calls - The calls.
   */
  add(calls: ReadonlyArray<{ readonly callId: string }>): void {
    for (const { callId } of calls) {
      this.#callIds.add(callId);
    }
  }

  /**
   * Removes calls that were answered or cancelled; those that have ended already are ignored.
   *
   * @param callIds - Ids of the calls.
   */
  remove(callIds: ReadonlyArray<string>): void {
    for (const callId of callIds) {
      this.#callIds.delete(callId);
    }
  }
}
