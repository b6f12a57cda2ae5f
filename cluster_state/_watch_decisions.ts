/**
 * Decides which kinds of objects a box watches in the store.
 *
 * @module
 */
import type { StorePosition } from "../model/mod.js";

/**
 * Number of services up to which a box lists the leafs from the store immediately when it starts.
 * With more, it first waits for a peer to send them.
 */
const MAX_SERVICES_FOR_IMMEDIATE_LIST = 100;

/**
 * Time after the start in which a box discovers its peers and whether it should watch the store, in
 * milliseconds.
 */
const PEER_DISCOVERY_MS = 1_000;

/**
 * Time after the start for which a box that does not watch the store waits for the leafs and the
 * orders of a peer, in milliseconds.
 */
export const PEER_WAIT_MS = 2_500;

/** What the decisions depend on. */
export interface WatchConditions {
  /** Whether this box watches the store for others. */
  readonly isWatcher: boolean;
  /** Time since the start, in milliseconds. */
  readonly sinceStartMs: number;
  /** Number of services of the active configuration; `undefined` if there is none yet. */
  readonly serviceCount: number | undefined;
  /** Revision up to which the leafs are known; 0 if they are not. */
  readonly leafsRevision: StorePosition;
  readonly isEvacuationEnabled: boolean;
  /** Position up to which the evacuations are known; 0 if they are not. */
  readonly evacuationPosition: StorePosition;
  readonly isRolloutEnabled: boolean;
  /** Position up to which the orders of rollouts are known; 0 if they are not. */
  readonly rolloutPosition: StorePosition;
}

/** Whether a kind is watched. */
export interface WatchDecision {
  readonly shouldWatch: boolean;
  /** Revision that is known from elsewhere: the watch skips older changes; 0 for none. */
  readonly revision: StorePosition;
}

/** Decisions for all kinds. */
export interface WatchDecisions {
  readonly configuration: WatchDecision;
  readonly leafs: WatchDecision;
  readonly evacuations: WatchDecision;
  readonly rollouts: WatchDecision;
}

/**
 * Decides which kinds are watched. Boxes that do not watch the store receive its state from those
 * that do, and read it themselves only as long as they lack it.
 *
 * @param conditions - What the decisions depend on.
 * @returns The decisions.
 */
export function decideWatches(conditions: WatchConditions): WatchDecisions {
  const { evacuationPosition, isEvacuationEnabled, isWatcher, leafsRevision } = conditions;
  return {
    configuration: {
      shouldWatch: isWatcher || conditions.serviceCount === undefined,
      revision: 0,
    },
    leafs: { shouldWatch: shouldWatchLeafs(conditions), revision: leafsRevision },
    evacuations: {
      shouldWatch: isWatcher && isEvacuationEnabled && hasDiscoveredPeers(conditions),
      revision: evacuationPosition,
    },
    rollouts: {
      shouldWatch: conditions.isRolloutEnabled && shouldWatchRollouts(conditions),
      // Changes that peers have sent are read again, as conditional writes need the revisions.
      revision: 0,
    },
  };
}

function shouldWatchLeafs(conditions: WatchConditions): boolean {
  const { isWatcher, leafsRevision, serviceCount, sinceStartMs } = conditions;
  if (serviceCount === undefined) {
    // Leafs cannot be used before a configuration is known.
    return false;
  }
  if (leafsRevision === 0 && serviceCount > MAX_SERVICES_FOR_IMMEDIATE_LIST) {
    return sinceStartMs > (isWatcher ? PEER_DISCOVERY_MS : PEER_WAIT_MS);
  }
  return isWatcher || leafsRevision === 0;
}

function shouldWatchRollouts(conditions: WatchConditions): boolean {
  return conditions.isWatcher
    ? hasDiscoveredPeers(conditions)
    : conditions.rolloutPosition === 0 && conditions.sinceStartMs > PEER_WAIT_MS;
}

/** Whether enough time has passed since the start to know which boxes watch the store. */
function hasDiscoveredPeers({ sinceStartMs }: WatchConditions): boolean {
  return sinceStartMs > PEER_DISCOVERY_MS;
}
