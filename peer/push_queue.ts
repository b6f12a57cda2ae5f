/**
 * Queue with a synchronous writer and an asynchronous reader.
 *
 * @module
 */

/** Queue that yields pushed items in order, as an async iterable for one reader. */
export class PushQueue<T> implements AsyncIterable<T> {
  #items: Array<T> = [];
  #notify: (() => void) | undefined;
  #hasEnded = false;

  /** Whether the reader has taken all items and asks for the next one. */
  get isDrained(): boolean {
    return this.#items.length === 0 && this.#notify !== undefined;
  }

  /**
   * Adds an item. Items pushed after {@linkcode end} are dropped.
   *
   * @param item - The item.
   */
  push(item: T): void {
    if (!this.#hasEnded) {
      this.#items.push(item);
      this.#notify?.();
    }
  }

  /** Ends the iteration after the remaining items. */
  end(): void {
    this.#hasEnded = true;
    this.#notify?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    while (true) {
      const items = this.#items;
      this.#items = [];
      yield* items;
      if (this.#items.length > 0) {
        continue;
      }
      if (this.#hasEnded) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.#notify = resolve;
      });
      this.#notify = undefined;
    }
  }
}
