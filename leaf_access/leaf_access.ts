/**
 * Decides whether a call may be sent to a leaf: by the allowed regions of its request, evacuated
 * data centres, the versions that rollouts permit, the limits of cold leafs, and quarantined
 * queries.
 *
 * Every path to a leaf checks twice: when a leaf is selected, and right before anything is sent, as
 * calls wait for connections and the decision may have changed meanwhile. Boxes that relay calls
 * for another box apply the same checks to their own state.
 *
 * @module
 */
import type { Leaf } from "../leafs/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import { ANY_VERSION, type VersionAccess, type VersionCallEnd } from "../rollouts/mod.js";
import {
  type AcceptedRoute,
  type CurrentRoute,
  currentRoute,
  isAllowedIn,
  type RouteTable,
} from "../routing/mod.js";
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
  /** Decides by the versions of leafs; all versions may be called by default. */
  readonly versions?: VersionAccess;
  /** Returns whether a leaf is in another region than this box; none is by default. */
  readonly isRemote?: (leaf: Leaf) => boolean;
}

/** A call to be checked. */
export interface AccessCall {
  readonly leaf: Leaf;
  /** What its request was accepted under; the same object for all calls of one request. */
  readonly acceptedRoute: AcceptedRoute;
  /** Identifies the query: equal for all requests with the same content. */
  readonly fingerprint: string;
  /** Whether it is a trial call, the only call of a suspected query in flight. */
  readonly isTrial: boolean;
}

/** A call that is about to be sent. */
export interface SentCall extends AccessCall {
  /** Whether it is the first call of its request to the service, and no retry or hedge. */
  readonly isFirst: boolean;
}

/** Records how a call ended; called once for each call that was recorded as sent. */
export type EndRecorder = (end: Pick<VersionCallEnd, "result" | "elapsedMs">) => void;

/** The last route that was looked up. */
interface CachedRoute extends CurrentRoute {
  readonly acceptedRoute: AcceptedRoute;
  readonly routes: RouteTable | undefined;
}

const IGNORE_END: EndRecorder = () => undefined;

/** Decides which calls may be sent to which leafs, as seen by this box. */
export class LeafAccess {
  readonly #options: LeafAccessOptions;
  readonly #versions: VersionAccess;
  /** Cache of one entry: the calls of a request usually follow one another. */
  #cached: CachedRoute | undefined;

  /**
   * @param options - What the decision depends on.
   */
  constructor(options: LeafAccessOptions) {
    this.#options = options;
    this.#versions = options.versions ?? ANY_VERSION;
  }

  /**
   * Returns why a request may not use a leaf, regardless of its content. Must be checked when a
   * leaf is selected.
   *
   * @param leaf - The leaf.
   * @param acceptedRoute - What the request was accepted under.
   * @returns The reason, or `undefined` if the leaf may be used.
   */
  blockReasonForLeaf(leaf: Leaf, acceptedRoute: AcceptedRoute): BlockReason | undefined {
    const { coldLeafs, evacuated, regionOf } = this.#options;
    const { dataCentre, leafId } = leaf;
    if (evacuated().has(dataCentre)) {
      return { kind: "evacuated", dataCentre };
    }
    const region = regionOf(dataCentre);
    const { allowedRegions } = this.#routeOf(acceptedRoute);
    if (!isAllowedIn(allowedRegions, region)) {
      return { kind: "region", region, allowedRegions };
    }
    const versionBlock = this.versionBlockOf(leaf);
    if (versionBlock !== undefined) {
      return versionBlock;
    }
    return coldLeafs.mayCall(leaf) ? undefined : { kind: "cold", leafId };
  }

  /**
   * Returns why the version of a leaf may not be called.
   *
   * @param leaf - The leaf.
   * @returns The reason, or `undefined` if its version may be called.
   */
  versionBlockOf(leaf: Leaf): Extract<BlockReason, { readonly kind: "version" }> | undefined {
    const cause = this.#versions.blockCause(leaf);
    const { service, version = "unknown" } = leaf;
    return cause === undefined ? undefined : { kind: "version", service, version, cause };
  }

  /**
   * Returns the version to which the first call of a request should go.
   *
   * @param service - The service that is called.
   * @returns The version, or `undefined` if any callable leaf may be selected.
   */
  preferredVersion(service: string): string | undefined {
    return this.#versions.preferredVersion(service);
  }

  /**
   * Returns why a call may not be sent. Must be checked right before anything is sent.
   *
   * @param call - The call.
   * @returns The reason, or `undefined` if the call may be sent.
   */
  blockReasonForCall({
    acceptedRoute,
    fingerprint,
    isTrial,
    leaf,
  }: AccessCall): BlockReason | undefined {
    if (!isTrial && this.#options.quarantine.permission(fingerprint) !== "unrestricted") {
      return { kind: "quarantined", fingerprint };
    }
    return this.blockReasonForLeaf(leaf, acceptedRoute);
  }

  /**
   * Records that a call is being sent, which counts towards the limit of a cold leaf and towards
   * the calls to its version.
   *
   * @param call - The call.
   * @returns A function that records the end of the call.
   */
  recordCallSent(call: SentCall): EndRecorder {
    const { coldLeafs, isRemote, quarantine } = this.#options;
    const { acceptedRoute, fingerprint, isFirst, leaf } = call;
    coldLeafs.recordCallSent(leaf);
    if (this.#versions === ANY_VERSION) {
      return IGNORE_END;
    }
    this.#versions.recordCallSent({ leaf, isFirst });
    const isSuspected = (): boolean => quarantine.permission(fingerprint) !== "unrestricted";
    const { name: route } = this.#routeOf(acceptedRoute);
    const wasCold = coldLeafs.isCold(leaf.leafId);
    const wasSuspected = isSuspected();
    return ({ result, elapsedMs }) => {
      this.#versions.recordCallEnd({
        ...{ leaf, route, fingerprint, result, elapsedMs, isCold: wasCold },
        isRemote: isRemote?.(leaf) ?? false,
        isSuspected: wasSuspected || isSuspected(),
      });
    };
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

  #routeOf(acceptedRoute: AcceptedRoute): CurrentRoute {
    const routes = this.#options.routes();
    const cached = this.#cached;
    if (cached?.acceptedRoute === acceptedRoute && cached.routes === routes) {
      return cached;
    }
    this.#cached = { acceptedRoute, routes, ...currentRoute(acceptedRoute, routes) };
    return this.#cached;
  }
}
