/**
 * Decides for how long a box that has started waits for the orders of rollouts.
 *
 * @module
 */
import type { StorePosition } from "../model/mod.js";
import { PEER_WAIT_MS } from "./_watch_decisions.js";

/**
 * Time after the start for which a box does not serve without the orders of rollouts, in
 * milliseconds. Without them it could call a retired version; serving nothing for longer would cost
 * more while neither the store nor a peer answers.
 */
const ROLLOUT_WAIT_MS = 10_000;

/** What the wait depends on. */
export interface RolloutWaitConditions {
  readonly isRolloutEnabled: boolean;
  /** Time since the start, in milliseconds. */
  readonly sinceStartMs: number;
  /** Whether a peer has answered a request of this box since its start. */
  readonly hasPeerAnswer: boolean;
  /** Position up to which the orders of rollouts are known; 0 if they are not. */
  readonly rolloutPosition: StorePosition;
}

/**
 * Decides whether a box waits for the orders of rollouts before it serves.
 *
 * @param conditions - What the wait depends on.
 * @returns Whether the box waits.
 */
export function waitsForRollouts(conditions: RolloutWaitConditions): boolean {
  const { hasPeerAnswer, isRolloutEnabled, rolloutPosition, sinceStartMs } = conditions;
  if (!isRolloutEnabled || sinceStartMs >= ROLLOUT_WAIT_MS) {
    return false;
  }
  const waitsForPeer = !hasPeerAnswer && sinceStartMs < PEER_WAIT_MS;
  return rolloutPosition === 0 || waitsForPeer;
}
