/**
 * Dependencies that a box provides to running requests.
 *
 * @module
 */

import type { LeafCalls, LeafRequest } from "../calls/mod.js";
import type { RelayPlaces } from "../fleet/mod.js";
import type { LeafAccess } from "../leaf_access/mod.js";
import type { LeafTable } from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { RelayCalls } from "../relay/mod.js";
import type { AcceptedRoute } from "../routing/mod.js";

/** A request as it is forwarded to leafs, without the id of the caller's attempt. */
export interface ForwardedRequest extends Omit<LeafRequest, "requestId"> {
  /** What the request was accepted under. */
  readonly acceptedRoute: AcceptedRoute;
  /** Hash of the request's content, equal for identical queries. */
  readonly fingerprint: string;
}

/** Dependencies of the runner. */
export interface RunnerOptions {
  readonly nowMs: () => number;
  /**
   * Returns the event-loop idle time, in milliseconds: a clock that stops while this process is
   * busy.
   */
  readonly eventLoopIdleMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly places: RelayPlaces;
  readonly relays: RelayCalls;
  readonly quarantine: Quarantine;
  readonly access: LeafAccess;
  /**
   * Records the queueing delay at an index's leafs; returns the minimum of the latest samples. All
   * in milliseconds.
   */
  readonly recordQueue: (index: string, queueMs: number) => number;
  readonly creditRequest: (service: string) => void;
  readonly takeExtraCall: (service: string, kind: ExtraCallKind) => boolean;
  /** Returns the number of extra calls that the service's budget currently allows. */
  readonly extraCallsLeft: (service: string) => number;
}
