/**
 * Writes the status of orders to the store, a limited number at a time.
 *
 * @module
 */
import type { Result } from "neverthrow";
import { eraOf, type Rollout, revisionOf, storePosition } from "../model/mod.js";
import { encodeRolloutStatus, type StoreError, type StoreObject } from "../platform/mod.js";
import type { RolloutStatusWrite, WriteResult } from "../rollouts/mod.js";
import type { RolloutRunnerOptions } from "./_rollout_ports.js";

/**
 * Maximum number of writes under way. With 90 orders at once, more would delay the other calls to
 * the store past their time-outs.
 */
const MAX_OPEN_WRITES = 20;

/** A write, and the callback for its answer. */
export interface QueuedWrite {
  readonly order: Rollout;
  readonly write: RolloutStatusWrite;
  readonly onAnswer: (result: WriteResult) => void;
}

type WriterOptions = Pick<RolloutRunnerOptions, "nowEpochMs" | "nowMs" | "orders" | "store">;

/** Queue of status writes. Writes are sent in the order in which they were added. */
export class StatusWriter {
  readonly #options: WriterOptions;
  readonly #queue: Array<QueuedWrite> = [];
  #openCount = 0;

  /**
   * @param options - The store and the orders.
   */
  constructor(options: WriterOptions) {
    this.#options = options;
  }

  /**
   * Queues a write.
   *
   * @param queued - The write.
   */
  add(queued: QueuedWrite): void {
    this.#queue.push(queued);
    this.#sendNext();
  }

  #sendNext(): void {
    while (this.#openCount < MAX_OPEN_WRITES) {
      const next = this.#queue.shift();
      if (next === undefined) {
        return;
      }
      this.#openCount += 1;
      void this.#send(next);
    }
  }

  async #send({ onAnswer, order, write }: QueuedWrite): Promise<void> {
    const { nowEpochMs, nowMs, store } = this.#options;
    const { attempt, expectedRevision, retiredVersions, state } = write;
    const times = { nowMs: nowMs(), nowEpochMs: nowEpochMs() };
    const status = encodeRolloutStatus({ ...order, attempt, retiredVersions, state }, times);
    const revision = revisionOf(expectedRevision);
    const answer = await store.writeStatus(order.service, { revision, status });
    this.#openCount -= 1;
    onAnswer(this.#toResult(order, answer));
    this.#sendNext();
  }

  #toResult(order: Rollout, answer: Result<StoreObject, StoreError>): WriteResult {
    if (answer.isOk()) {
      this.#options.orders.apply(answer.value);
      return { kind: "done", revision: this.#positionOf(answer.value) };
    }
    const { error } = answer;
    if (error.kind === "conflict") {
      return { kind: "conflict", current: error.object && this.#toCurrent(order, error.object) };
    }
    return { kind: error.kind === "unclear" ? "unclear" : "unavailable" };
  }

  #toCurrent(
    { orderPosition, service }: Rollout,
    object: StoreObject,
  ): Extract<WriteResult, { readonly kind: "conflict" }>["current"] {
    const { orders } = this.#options;
    const stored = orders.apply(object);
    const order = orders.get(service);
    // The object may contain another order: a later one, or an earlier one from a backup. To write
    // the status of this order over an earlier one would begin a new order to the earlier target.
    if (
      stored?.rollout.isOk() !== true ||
      stored.rollout.value.orderPosition !== orderPosition ||
      order?.orderPosition !== orderPosition
    ) {
      return undefined;
    }
    const isRecorded = stored.hasStatus && stored.rollout.value.state === order.state;
    return { order, revision: this.#positionOf(object), isRecorded };
  }

  #positionOf({ revision }: StoreObject): number {
    return storePosition({ era: eraOf(this.#options.orders.position), revision });
  }
}
