/**
 * Decides whether a call may go to a leaf: by the homes of its route, evacuated data centres, what cold leafs
 * bear, and the queries under which leafs were lost.
 *
 * Each way to a leaf asks twice: when a leaf is chosen, and right before anything is sent, as calls wait for
 * connections and the answer may have changed meanwhile. Boxes that ask for another one do the same by what they
 * know themselves.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { findRoute, type RouteKey, type RouteTable } from "../routing/mod.js";
import type { BlockReason } from "./block_reason.js";
import type { ColdLeafs } from "./cold_leafs.js";

/** What the decision is made from. */
export interface LeafAccessOptions {
  /** Routes in force, or nothing before the first configuration. */
  readonly routes: () => RouteTable | undefined;
  readonly regionOf: (dataCentre: string) => string;
  /** Data centres to whose leafs nothing more is to be sent. */
  readonly evacuated: () => ReadonlySet<string>;
  readonly coldLeafs: Pick<ColdLeafs, "isCold" | "mayCall" | "noteSent">;
  readonly quarantine: Pick<Quarantine, "permission">;
}

/** A call that is to go to a leaf. */
export interface AccessCall {
  readonly leaf: Leaf;
  /** Host and path of its request; the same object for all calls of one request. */
  readonly routeKey: RouteKey;
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
  /** Whether it is the only call of a query under which leafs were lost. */
  readonly isTrial: boolean;
}

/** The homes of one request's route, as last looked up. */
interface FoundHomes {
  readonly routeKey: RouteKey;
  readonly routes: RouteTable | undefined;
  readonly homes: ReadonlyArray<string>;
}

const ANYWHERE: ReadonlyArray<string> = [];

/** Which calls may go to which leafs, as one box knows it. */
export class LeafAccess {
  readonly #options: LeafAccessOptions;
  /** The calls of a request come one after the other, so that one look-up serves most of them. */
  #found: FoundHomes | undefined;

  /**
   * @param options - What the decision is made from.
   */
  constructor(options: LeafAccessOptions) {
    this.#options = options;
  }

  /**
   * Tells what keeps a request from a leaf, whatever the request asks for. To be asked when a leaf is chosen.
   *
   * @param leaf - The leaf.
   * @param routeKey - Host and path of the request.
   * @returns What keeps it, or nothing.
   */
  blockReasonForLeaf(leaf: Leaf, routeKey: RouteKey): BlockReason | undefined {
    const { coldLeafs: cold, evacuated, regionOf } = this.#options;
    const { dataCentre, leafId } = leaf;
    if (evacuated().has(dataCentre)) {
      return { kind: "evacuated", dataCentre };
    }
    const homes = this.#homesOf(routeKey);
    if (homes.length > 0 && !homes.includes(regionOf(dataCentre))) {
      return { kind: "home", region: regionOf(dataCentre), homes };
    }
    return cold.mayCall(leaf) ? undefined : { kind: "cold", leafId };
  }

  /**
   * Tells what keeps a call from being sent. To be asked right before anything is sent.
   *
   * @param call - The call.
   * @returns What keeps it, or nothing.
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
   * Notes that a call is being sent, which counts towards what a cold leaf bears.
   *
   * @param leaf - The leaf.
   */
  noteSent(leaf: Leaf): void {
    this.#options.coldLeafs.noteSent(leaf);
  }

  /**
   * Tells whether a leaf is cold and so slower than usual.
   *
   * @param leafId - The leaf.
   * @returns Whether it is.
   */
  isCold(leafId: string): boolean {
    return this.#options.coldLeafs.isCold(leafId);
  }

  #homesOf(routeKey: RouteKey): ReadonlyArray<string> {
    const routes = this.#options.routes();
    const found = this.#found;
    if (found?.routeKey === routeKey && found.routes === routes) {
      return found.homes;
    }
    const route = routes === undefined ? undefined : findRoute(routes, routeKey);
    const homes = route?.homes ?? ANYWHERE;
    this.#found = { routeKey, routes, homes };
    return homes;
  }
}
