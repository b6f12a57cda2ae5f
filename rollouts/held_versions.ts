/**
 * Holds versions that are new to a service until their order may be known, as leafs and orders
 * arrive by two watches.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { StorePosition } from "../model/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";

/** Options of {@link HeldVersions}. */
export interface HeldVersionsOptions {
  /** Returns the current time, in milliseconds. */
  readonly nowMs: () => number;
  /** Returns the store position up to which orders are known. */
  readonly ordersPosition: () => StorePosition;
  /** Returns the listed leafs of a service. */
  readonly leafsOf: (service: string) => ReadonlyArray<Leaf>;
  /** Returns whether the order of the service, if any, allows calls to a leaf. */
  readonly isAllowedByOrder: (leaf: Leaf) => boolean;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/** Why a version is held. */
interface Hold {
  /** Start of the hold, in milliseconds. */
  readonly sinceMs: number;
  /**
   * Position of the leaf entry that showed the version; the hold ends once orders are known up to
   * it.
   */
  readonly entryRevision: StorePosition;
}

/** Time after which a version is no longer held, in milliseconds; orders may be unavailable. */
const MAX_HOLD_MS = 3_000;

/** Versions by service, and which of them are held. */
export class HeldVersions {
  readonly #options: HeldVersionsOptions;
  /** Known versions of each service, with their hold; `undefined` for those that are not held. */
  readonly #services = new Map<string, Map<string, Hold | undefined>>();

  /**
   * @param options - Where leafs and orders come from.
   */
  constructor(options: HeldVersionsOptions) {
    this.#options = options;
  }

  /**
   * Brings the versions of a service up to date. A version whose last leaf is gone is new again if
   * it returns.
   *
   * @param service - The service.
   */
  observe(service: string): void {
    const leafs = this.#options.leafsOf(service);
    const known = this.#services.get(service) ?? new Map<string, Hold | undefined>();
    const listed = new Set(leafs.map(({ version }) => version));
    for (const version of known.keys()) {
      if (!listed.has(version)) {
        known.delete(version);
      }
    }
    // Versions that a service has when it is first seen are not new.
    const isFirstSight = known.size === 0;
    for (const leaf of leafs) {
      if (leaf.version !== undefined && !known.has(leaf.version)) {
        known.set(leaf.version, isFirstSight ? undefined : this.#newHold(leaf));
      }
    }
    if (known.size > 0) {
      this.#services.set(service, known);
    } else {
      this.#services.delete(service);
    }
  }

  /**
   * Returns whether calls to a leaf wait for orders.
   *
   * @param leaf - A leaf that the order of its service, if any, does not name.
   * @returns Whether its version is held.
   */
  isHeld(leaf: Leaf): boolean {
    const { service, version } = leaf;
    if (version === undefined) {
      return false;
    }
    if (this.#services.get(service)?.has(version) !== true) {
      this.observe(service);
    }
    return this.#isWaiting(service, version) && this.#hasOtherUsableLeaf(leaf);
  }

  #newHold({ entryRevision, service, version }: Leaf): Hold | undefined {
    const { nowMs, ordersPosition, telemetry } = this.#options;
    if (ordersPosition() >= entryRevision) {
      return undefined;
    }
    const fields = { service, version, entryRevision, ordersPosition: ordersPosition() };
    telemetry.event("info", "rollouts: version held until orders are known", fields);
    return { sinceMs: nowMs(), entryRevision };
  }

  #isWaiting(service: string, version: string): boolean {
    const versions = this.#services.get(service);
    const hold = versions?.get(version);
    if (hold === undefined) {
      return false;
    }
    const { nowMs, ordersPosition, telemetry } = this.#options;
    const heldMs = nowMs() - hold.sinceMs;
    if (ordersPosition() < hold.entryRevision && heldMs < MAX_HOLD_MS) {
      return true;
    }
    versions?.set(version, undefined);
    const { entryRevision } = hold;
    const fields = { service, version, entryRevision, ordersPosition: ordersPosition(), heldMs };
    telemetry.event("info", "rollouts: version no longer held", fields);
    return false;
  }

  #hasOtherUsableLeaf({ service, version }: Leaf): boolean {
    const { isAllowedByOrder, leafsOf } = this.#options;
    return leafsOf(service).some(
      (other) =>
        other.version !== version &&
        !other.draining &&
        isAllowedByOrder(other) &&
        (other.version === undefined || !this.#isWaiting(service, other.version)),
    );
  }
}
