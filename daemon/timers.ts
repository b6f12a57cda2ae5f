/**
 * Timers of a core, identified by key.
 *
 * @module
 */

/** Key of a timer. */
export interface TimerKey {
  readonly kind: string;
  readonly id?: string;
}

/**
 * Set of pending timers. An expired timer takes effect only after the process has read what has
 * already arrived: after a stall, its results would otherwise count as missing.
 */
export class Timers<Key extends TimerKey> {
  readonly #handles = new Map<string, NodeJS.Timeout>();
  readonly #onExpire: (timer: Key) => void;

  /**
   * @param onExpire - Called with the key of each timer that expires.
   */
  constructor(onExpire: (timer: Key) => void) {
    this.#onExpire = onExpire;
  }

  /**
   * Sets a timer and replaces a pending one with the same key.
   *
   * @param timer - Key of the timer.
   * @param delayMs - Delay, in milliseconds.
   */
  set(timer: Key, delayMs: number): void {
    const name = toMapKey(timer);
    clearTimeout(this.#handles.get(name));
    const handle = setTimeout(
      () => setImmediate(() => this.#expire(timer, handle)),
      Math.max(0, delayMs),
    );
    this.#handles.set(name, handle);
  }

  /** Expires a timer, unless it has been replaced or cancelled meanwhile. */
  #expire(timer: Key, handle: NodeJS.Timeout): void {
    const name = toMapKey(timer);
    if (this.#handles.get(name) === handle) {
      this.#handles.delete(name);
      this.#onExpire(timer);
    }
  }

  /**
   * Cancels a timer. Does nothing if it is not pending.
   *
   * @param timer - Key of the timer.
   */
  clear(timer: Key): void {
    const name = toMapKey(timer);
    clearTimeout(this.#handles.get(name));
    this.#handles.delete(name);
  }

  /** Cancels all timers. */
  clearAll(): void {
    for (const handle of this.#handles.values()) {
      clearTimeout(handle);
    }
    this.#handles.clear();
  }
}

function toMapKey({ kind, id = "" }: TimerKey): string {
  return `${kind} ${id}`;
}
