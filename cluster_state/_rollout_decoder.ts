/**
 * Decodes the orders of rollouts from objects of the store. What is known of former orders tells a
 * new order from one that a restored store still has.
 *
 * @module
 */
import type { Result } from "neverthrow";
import {
  eraOf,
  type Rollout,
  revisionOf,
  type StorePosition,
  storePosition,
} from "../model/mod.js";
import {
  decodeRollout,
  type RolloutEntry,
  type StoreObject,
  supersede,
  type UnreadableRollout,
} from "../platform/mod.js";
import { mergeRollout } from "../rollouts/mod.js";

/** An order as the store holds it. */
export interface StoredRollout {
  /** Position of the last change of the object. */
  readonly position: StorePosition;
  /** The order, or why it cannot be read. */
  readonly rollout: Result<Rollout, UnreadableRollout>;
  /** Whether the store holds a status of this order. */
  readonly hasStatus: boolean;
}

/** Options of the decoder. */
export interface RolloutDecoderOptions {
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Returns the current time, in milliseconds since the epoch. */
  readonly nowEpochMs: () => number;
}

/** What is known about an object besides its content. */
export interface ObjectOrigin {
  /** Era of the store that returned the object. */
  readonly era: number;
  /**
   * Whether the object may come from the backup that the store was restored from. Objects of a
   * watch's changes do not.
   */
  readonly mayBeRestored: boolean;
  /** The known order of its service. */
  readonly known: Rollout | undefined;
}

/** Decoder of the orders. */
export class RolloutDecoder {
  readonly #options: RolloutDecoderOptions;
  /**
   * Position of each order ever known, by {@link keyOf}, to recognize those of a restored store.
   */
  readonly #positions = new Map<string, StorePosition>();

  /**
   * @param options - Clocks.
   */
  constructor(options: RolloutDecoderOptions) {
    this.#options = options;
  }

  /**
   * Remembers the position of an order.
   *
   * @param rollout - The order.
   */
  remember(rollout: Rollout): void {
    const key = keyOf(rollout);
    this.#positions.set(key, Math.max(rollout.orderPosition, this.#positions.get(key) ?? 0));
  }

  /**
   * Decodes an object.
   *
   * @param object - The object.
   * @param origin - What is known about it.
   * @returns The order as the store holds it.
   */
  decode(object: StoreObject, { era, mayBeRestored, known }: ObjectOrigin): StoredRollout {
    const { nowEpochMs, nowMs } = this.#options;
    const times = { nowMs: nowMs(), nowEpochMs: nowEpochMs() };
    const position = storePosition({ era, revision: object.revision });
    const entry = decodeRollout(object, { era, known, ...times });
    const current = entry.map((read) => {
      const isReplaced = read.hasStatus && isStatusOfFormer(read.rollout, { position, known });
      return isReplaced ? withoutStatus(read, { position, known, nowMs: times.nowMs }) : read;
    });
    const hasStatus = current.isOk() && current.value.hasStatus;
    const rollout = current.map((read) => {
      return read.hasStatus ? read.rollout : this.#toNewOrder(read, { mayBeRestored, known });
    });
    return { position, rollout, hasStatus };
  }

  #toNewOrder(
    { rollout, former }: RolloutEntry,
    { mayBeRestored, known }: Pick<ObjectOrigin, "mayBeRestored" | "known">,
  ): Rollout {
    // A backup may lack the status of an order, which is then not a new one.
    const formerPosition = mayBeRestored ? this.#positions.get(keyOf(rollout)) : undefined;
    const order = { ...rollout, orderPosition: formerPosition ?? rollout.orderPosition };
    if (known === undefined || known.orderPosition > order.orderPosition) {
      return order;
    }
    if (known.orderPosition === order.orderPosition) {
      return { ...order, retiredVersions: known.retiredVersions };
    }
    return supersede(former === undefined ? known : mergeRollout(known, former), order);
  }
}

/**
 * Whether the status of an object belongs to an order before the known one, although the object has
 * changed since the known one in the same era of the store. This happens if the operator orders the
 * recorded target again before a status of the order in between was recorded.
 */
function isStatusOfFormer(
  { orderPosition }: Rollout,
  { known, position }: Pick<StoredRollout, "position"> & Pick<ObjectOrigin, "known">,
): boolean {
  return (
    known !== undefined &&
    orderPosition < known.orderPosition &&
    position >= known.orderPosition &&
    eraOf(position) === eraOf(known.orderPosition)
  );
}

/** Returns the order of an object whose status belongs to a former order. */
function withoutStatus(
  { rollout }: RolloutEntry,
  {
    known,
    nowMs,
    position,
  }: Pick<StoredRollout, "position"> & Pick<ObjectOrigin, "known"> & { readonly nowMs: number },
): RolloutEntry {
  const { durationMs, service, targetVersion } = rollout;
  const isKnown = known?.targetVersion === targetVersion && known.durationMs === durationMs;
  const orderPosition = isKnown ? known.orderPosition : position;
  const progress = { state: "running", attempt: 0, stage: "gradual", isBad: false } as const;
  const order = { service, targetVersion, durationMs, orderPosition, orderedAtMs: nowMs };
  return {
    rollout: { ...order, ...progress, retiredVersions: [] },
    hasStatus: false,
    former: rollout,
  };
}

/** Identifies an order without its era: a restored store returns old objects in its new era. */
function keyOf({ durationMs, orderPosition, service, targetVersion }: Rollout): string {
  return JSON.stringify([service, targetVersion, durationMs, revisionOf(orderPosition)]);
}

/**
 * Returns the era in which an order was last seen in the store.
 *
 * @param rollout - The order.
 * @param stored - The order as last seen in the store, if this box has seen it.
 * @returns The era.
 */
export function lastSeenEra(rollout: Rollout, stored: StoredRollout | undefined): number {
  return eraOf(Math.max(rollout.orderPosition, stored?.position ?? 0));
}
