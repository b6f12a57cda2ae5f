/**
 * Requests from other processes that wait for a reply of the core.
 *
 * @module
 */

/** Pending requests by id. */
export class PendingReplies<Reply> {
  readonly #resolvers = new Map<number, (reply: Reply) => void>();
  #nextId = 1;

  /**
   * Sends a request to the core. The core must reply to every request.
   *
   * @param send - Sends the request to the core under the given id.
   * @returns The reply.
   */
  open(send: (requestId: number) => void): Promise<Reply> {
    const requestId = this.#nextId++;
    return new Promise((resolve) => {
      this.#resolvers.set(requestId, resolve);
      send(requestId);
    });
  }

  /**
   * Resolves a pending request. An unknown id is ignored.
   *
   * @param requestId - Id of the request.
   * @param reply - The reply.
   */
  resolve(requestId: number, reply: Reply): void {
    this.#resolvers.get(requestId)?.(reply);
    this.#resolvers.delete(requestId);
  }
}
