/**
 * The orders of rollouts and their progress, from the store or from other boxes, whichever is
 * later. They remain in effect while the store is unreachable, and after it was restored from a
 * backup that lacks them.
 *
 * @module
 */
import {
  eraOf,
  type Rollout,
  type RolloutUpdate,
  revisionOf,
  type StorePosition,
} from "../model/mod.js";
import type { StoreChanges, StoreList, StoreObject } from "../platform/mod.js";
import { mergeRollout } from "../rollouts/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import { AppliedPosition } from "./_applied_position.js";
import {
  lastSeenEra,
  type ObjectOrigin,
  RolloutDecoder,
  type StoredRollout,
} from "./_rollout_decoder.js";

export type { StoredRollout };

/** Maximum number of orders in a log line. */
const MAX_LOGGED_ORDERS = 20;

/** Maximum length of a reason in a log line, in characters. */
const MAX_REASON_CHARS = 100;

/** Options of the orders. */
export interface RolloutOrdersOptions {
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Returns the current time, in milliseconds since the epoch. */
  readonly nowEpochMs: () => number;
  readonly telemetry: Pick<BoxTelemetry, "event">;
  /**
   * Called after each change, with the services whose orders changed; also once when the orders
   * become known, even if there are none.
   */
  readonly onChange: (services: ReadonlyArray<string>) => void;
}

/** Where a change came from, for log lines. */
type Source = "store" | "peer" | "box";

/** The orders that a box knows, by service. Orders that end remain known. */
export class RolloutOrders {
  readonly #options: RolloutOrdersOptions;
  readonly #applied = new AppliedPosition();
  readonly #rollouts = new Map<string, Rollout>();
  /** Objects as last seen in the store. */
  readonly #stored = new Map<string, StoredRollout>();
  readonly #decoder: RolloutDecoder;
  #update: RolloutUpdate | undefined;
  #hasNotified = false;

  /**
   * @param options - Options of the orders.
   */
  constructor(options: RolloutOrdersOptions) {
    this.#options = options;
    this.#decoder = new RolloutDecoder(options);
  }

  /** Store position up to which orders are applied; 0 before the first list or update. */
  get position(): StorePosition {
    return this.#applied.value;
  }

  /** Update for other boxes; the same object until something changes. */
  get update(): RolloutUpdate {
    if (this.#update?.position !== this.position) {
      this.#update = { position: this.position, rollouts: this.all() };
    }
    return this.#update;
  }

  /**
   * Returns the order of a service.
   *
   * @param service - Name of the service.
   * @returns The latest order; `undefined` if there was none.
   */
  get(service: string): Rollout | undefined {
    return this.#rollouts.get(service);
  }

  /**
   * Returns all orders.
   *
   * @returns The latest order of each service, sorted by service.
   */
  all(): ReadonlyArray<Rollout> {
    return [...this.#rollouts.values()].sort((a, b) => (a.service < b.service ? -1 : 1));
  }

  /**
   * Returns the order of a service as the store holds it.
   *
   * @param service - Name of the service.
   * @returns The stored order; `undefined` if this box has not seen it or it was removed.
   */
  storedOf(service: string): StoredRollout | undefined {
    return this.#stored.get(service);
  }

  /**
   * Returns the revision on which to condition a write of the status of a service's order.
   *
   * @param service - Name of the service.
   * @returns The revision as last seen; `undefined` if it is unknown, if the object was removed or
   *   cannot be read, or if the store holds another order than the one in effect.
   */
  revisionOf(service: string): number | undefined {
    const stored = this.#stored.get(service);
    const known = this.#rollouts.get(service);
    if (stored === undefined || stored.rollout.isErr()) {
      return undefined;
    }
    const isSameOrder = stored.rollout.value.orderPosition === known?.orderPosition;
    return isSameOrder ? revisionOf(stored.position) : undefined;
  }

  /**
   * Applies a complete list of the store.
   *
   * @param list - List of all orders.
   */
  applyList({ objects, revision }: StoreList): void {
    if (this.#applied.advanceToList(revision) === "outdated") {
      return;
    }
    const era = eraOf(revision);
    const changed = this.#applyObjects(objects, { era, mayBeRestored: true });
    const listed = new Set(objects.map(({ name }) => name));
    const missing = [...this.#rollouts.values()].filter(({ service }) => !listed.has(service));
    // A restored store lacks orders that nobody removed; they stay in effect.
    const removed = missing.filter((rollout) => {
      return lastSeenEra(rollout, this.#stored.get(rollout.service)) === era;
    });
    const ended = this.#endRemoved(
      removed.map(({ service }) => service),
      revision,
    );
    for (const { service } of missing) {
      this.#stored.delete(service);
    }
    this.#notify([...changed, ...ended], "store");
  }

  /**
   * Applies changes of the store. Changes that are already known from peers are applied as well, as
   * peers do not send the revisions of the objects.
   *
   * @param changes - Changed and removed orders.
   */
  applyChanges({ changed, removed, removedObjects = [], revision }: StoreChanges): void {
    if (eraOf(revision) < eraOf(this.position)) {
      return;
    }
    this.#applied.advanceTo(revision);
    const origin = { era: eraOf(revision), mayBeRestored: false };
    // The verdict may have been recorded just before the removal.
    const finished = removedObjects.filter((object) => this.#isFinished(object, origin));
    const services = this.#applyObjects([...finished, ...changed], origin);
    this.#notify([...services, ...this.#endRemoved(removed, revision)], "store");
  }

  /**
   * Records that no order has changed up to a position.
   *
   * @param position - Position in the store.
   */
  advance(position: StorePosition): void {
    this.#applied.advanceTo(position);
    this.#notify([], "store");
  }

  /**
   * Applies an object that the store returned for a read or a write.
   *
   * @param object - The object.
   * @param options - Era of the store that returned it.
   * @returns Whether the order changed.
   */
  applyObject(object: StoreObject, { era }: { readonly era: number }): boolean {
    return this.#notify(this.#applyObjects([object], { era, mayBeRestored: true }), "store");
  }

  /**
   * Merges the orders that another box reports.
   *
   * @param update - Reported orders.
   * @returns Whether an order changed.
   */
  merge({ position, rollouts }: RolloutUpdate): boolean {
    this.#applied.advanceTo(position);
    const changed = rollouts.filter((rollout) => this.#mergeOne(rollout));
    return this.#notify(
      changed.map(({ service }) => service),
      "peer",
    );
  }

  /**
   * Applies progress that this box has made.
   *
   * @param rollout - The order with its new stage, attempt, state or judgement.
   * @returns Whether the order changed; not if a later view is known.
   */
  apply(rollout: Rollout): boolean {
    return this.#notify(this.#mergeOne(rollout) ? [rollout.service] : [], "box");
  }

  /** Applies objects of the store, and returns the services whose orders changed. */
  #applyObjects(
    objects: ReadonlyArray<StoreObject>,
    origin: Omit<ObjectOrigin, "known">,
  ): ReadonlyArray<string> {
    const changed: Array<string> = [];
    const unreadable: Array<string> = [];
    for (const object of objects) {
      const known = this.#rollouts.get(object.name);
      const stored = this.#decoder.decode(object, { ...origin, known });
      const before = this.#stored.get(object.name);
      if (before === undefined || stored.position >= before.position) {
        this.#stored.set(object.name, stored);
      }
      const { rollout } = stored;
      if (rollout.isErr()) {
        unreadable.push(`${object.name}: ${rollout.error.message}`);
      } else if (this.#mergeOne(rollout.value)) {
        changed.push(object.name);
      }
    }
    this.#logUnreadable(unreadable);
    return changed;
  }

  /** Whether a removed object contains the verdict of its order. */
  #isFinished(object: StoreObject, origin: Omit<ObjectOrigin, "known">): boolean {
    const known = this.#rollouts.get(object.name);
    const { hasStatus, rollout } = this.#decoder.decode(object, { ...origin, known });
    return hasStatus && rollout.isOk() && rollout.value.state !== "running";
  }

  /** Ends unfinished orders that were removed, and returns their services. */
  #endRemoved(services: ReadonlyArray<string>, revision: StorePosition): ReadonlyArray<string> {
    return services.filter((service) => {
      const stored = this.#stored.get(service);
      if (stored !== undefined && stored.position > revision) {
        return false;
      }
      this.#stored.delete(service);
      const known = this.#rollouts.get(service);
      const isRunning = known?.state === "running" && known.orderPosition <= revision;
      return isRunning && this.#mergeOne({ ...known, state: "rolledBack" });
    });
  }

  /** Merges a view of an order, and returns whether the order changed. */
  #mergeOne(received: Rollout): boolean {
    const { service } = received;
    const known = this.#rollouts.get(service);
    const merged = mergeRollout(known, received);
    this.#decoder.remember(received);
    this.#rollouts.set(service, merged);
    this.#update = undefined;
    return known === undefined || !isSameView(known, merged);
  }

  /** Logs and reports changed orders, and returns whether there are any. */
  #notify(services: ReadonlyArray<string>, source: Source): boolean {
    const isFirst = !this.#hasNotified && this.position > 0;
    this.#hasNotified ||= isFirst;
    if (services.length > 0) {
      const rollouts = services.slice(0, MAX_LOGGED_ORDERS).map((name) => this.#rollouts.get(name));
      const fields = { count: services.length, rollouts, position: this.position, source };
      this.#options.telemetry.event("info", "rollouts: orders changed", fields);
    }
    if (isFirst || services.length > 0) {
      this.#options.onChange(services);
    }
    return services.length > 0;
  }

  #logUnreadable(reasons: ReadonlyArray<string>): void {
    if (reasons.length > 0) {
      this.#options.telemetry.event("warn", "rollouts: orders that cannot be read are ignored", {
        count: reasons.length,
        reasons: reasons
          .slice(0, MAX_LOGGED_ORDERS)
          .map((reason) => reason.slice(0, MAX_REASON_CHARS)),
      });
    }
  }
}

/** Compares all but the time of the order, which each message estimates slightly differently. */
function isSameView(one: Rollout, other: Rollout): boolean {
  return (
    one.orderPosition === other.orderPosition &&
    one.targetVersion === other.targetVersion &&
    one.durationMs === other.durationMs &&
    one.state === other.state &&
    one.attempt === other.attempt &&
    one.stage === other.stage &&
    one.isBad === other.isBad &&
    one.retiredVersions.join("\n") === other.retiredVersions.join("\n")
  );
}
