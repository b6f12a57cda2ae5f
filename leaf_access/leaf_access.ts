/**
 * Decides whether a call may be sent to a leaf: by the allowed regions of its route, evacuated data
 * centres, the limits of cold leafs, and quarantined queries.
 *
 * Every path to a leaf checks twice: when a leaf is selected, and right before anything is sent, as
 * calls wait for connections and the decision may have changed meanwhile. Boxes that relay calls
 * for another box apply the same checks to their own state.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { findRoute, type RouteKey, type RouteTable } from "../routing/mod.js";
import type { BlockReason } from "./block_reason.js";
import type { ColdLeafs } from "./cold_leafs.js";

/** What the decision depends on. */
export interface LeafAccessOptions {
  /** The current routes, or `undefined` if there is no configuration yet. */
  readonly routes: () => RouteTable | undefined;
  readonly regionOf: (dataCentre: string) => string;
  /** Data centres whose leafs may not be called. */
  readonly evacuated: () => ReadonlySet<string>;
  readonly coldLeafs: Pick<ColdLeafs, "isCold" | "mayCall" | "recordCallSent">;
  readonly quarantine: Pick<Quarantine, "permission">;
}

/** A call to be checked. */
export interface AccessCall {
  readonly leaf: Leaf;
  /** Host and path of its request; the same object for all calls of one request. */
  readonly routeKey: RouteKey;
  /** Identifies the query: equal for all requests with the same content. */
  readonly fingerprint: string;
  /** Whether it is a trial call, the only call of a suspected query in flight. */
  readonly isTrial: boolean;
}

/** The allowed regions of the last route that was looked up. */
interface CachedRegions {
  readonly routeKey: RouteKey;
  readonly routes: RouteTable | undefined;
  readonly allowedRegions: ReadonlyArray<string>;
}

const UNRESTRICTED: ReadonlyArray<string> = [];

/** Decides which calls may be sent to which leafs, as seen by this box. */
export class LeafAccess {
  readonly #options: LeafAccessOptions;
  /** Cache of one entry: the calls of a request usually follow one another. */
  #cached: CachedRegions | undefined;

  /**
   * @param options - What the decision depends on.
   */
  constructor(options: LeafAccessOptions) {
    this.#options = options;
  }

  /**
   * Returns why a request may not use a leaf, regardless of its content. Must be checked when a
   * leaf is selected.
   *
   * @param leaf - The leaf.
   * @param routeKey - Host and path of the request.
   * @returns The reason, or `undefined` if the leaf may be used.
   */
  blockReasonForLeaf(leaf: Leaf, routeKey: RouteKey): BlockReason | undefined {
    const { coldLeafs, evacuated, regionOf } = this.#options;
    const { dataCentre, leafId } = leaf;
    if (evacuated().has(dataCentre)) {
      return { kind: "evacuated", dataCentre };
    }
    const allowedRegions = this.#allowedRegionsOf(routeKey);
    if (allowedRegions.length > 0 && !allowedRegions.includes(regionOf(dataCentre))) {
      return { kind: "region", region: regionOf(dataCentre), allowedRegions };
    }
    return coldLeafs.mayCall(leaf) ? undefined : { kind: "cold", leafId };
  }

  /**
   * Returns why a call may not be sent. Must be checked right before anything is sent.
   *
   * @param call - The call.
   * @returns The reason, or `undefined` if the call may be sent.
   */
  blockReasonForCall({
    fingerprint,
    isTrial,
    leaf,
    routeKey,
  }: AccessCall): BlockReason | undefined {
    if (!isTrial && this.#options.quarantine.permission(fingerprint) !== "unrestricted") {
      return { kind: "quarantined", fingerprint };
    }
    return this.blockReasonForLeaf(leaf, routeKey);
  }

  /**
   * Records that a call is being sent, which counts towards the limit of a cold leaf.
   *
   * @param leaf - The leaf.
   */
  recordCallSent(leaf: Leaf): void {
    this.#options.coldLeafs.recordCallSent(leaf);
  }

  /**
   * Returns whether a leaf is cold and therefore slower than usual.
   *
   * @param leafId - The leaf.
   * @returns Whether it is cold.
   */
  isCold(leafId: string): boolean {
    return this.#options.coldLeafs.isCold(leafId);
  }

  #allowedRegionsOf(routeKey: RouteKey): ReadonlyArray<string> {
    const routes = this.#options.routes();
    const cached = this.#cached;
    if (cached?.routeKey === routeKey && cached.routes === routes) {
      return cached.allowedRegions;
    }
    const route = routes === undefined ? undefined : findRoute(routes, routeKey);
    const allowedRegions = route?.homes ?? UNRESTRICTED;
    this.#cached = { routeKey, routes, allowedRegions };
    return allowedRegions;
  }
}
