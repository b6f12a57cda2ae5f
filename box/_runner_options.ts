/**
 * What running requests takes from the box.
 *
 * @module
 */

import type { LeafCalls } from "../calls/mod.js";
import type { RelayPlaces } from "../fleet/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { LeafTable } from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { RelayCalls } from "../relay/mod.js";
import type { RouteKey } from "../routing/mod.js";

/** A request as it is handed to leafs. */
export interface ForwardedRequest {
  readonly method: string;
  /** Path with its query, exactly as the caller sent it. */
  readonly path: string;
  /** Headers that are passed on, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  readonly body: Buffer | undefined;
  /** Host and path by which its route is found. */
  readonly routeKey: RouteKey;
  /** The same for all requests that ask for the same thing. */
  readonly fingerprint: string;
}

/** What the runner needs of its box. */
export interface RunnerOptions {
  readonly nowMs: () => number;
  /** Stands still while this box is busy. */
  readonly eventLoopIdleMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly places: RelayPlaces;
  readonly relays: RelayCalls;
  readonly quarantine: Quarantine;
  readonly access: LeafAccess;
  /** Notes the wait at an index's leafs; tells the one that all the latest looks have found. */
  readonly noteQueue: (index: string, queueMs: number) => number;
  readonly creditRequest: (service: string) => void;
  readonly takeExtraCall: (service: string, kind: ExtraCallKind) => boolean;
  /** Tells how many extra calls the service's budget allows now. */
  readonly extraCallsLeft: (service: string) => number;
}
