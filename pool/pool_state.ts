/**
 * State of the pool's core.
 *
 * @module
 */
import { Map as ImmutableMap, Set as ImmutableSet } from "immutable";
import type { Leaf } from "../catalog/mod.js";
import { type ControlOptions, type ControlState, newControl } from "../control/mod.js";
import type { Step } from "../core/mod.js";
import type { PoolEffect } from "./pool_messages.js";

/** A call of an entry that waits for a flight. */
export interface Waiter {
  readonly entryId: string;
  readonly callId: string;
}

/** A queued or sent call to a leaf, with all calls of entries that share it. */
export interface Flight {
  readonly flightId: string;
  readonly leafKey: string;
  readonly shareKey: string;
  readonly shareHash: number;
  readonly snapshot: string;
  readonly shard: string;
  readonly bodyJson: string;
  readonly rights: string;
  readonly priorityRank: number;
  readonly deadlineAtMs: number;
  readonly waiters: ReadonlyArray<Waiter>;
  /** Time of dispatch, in milliseconds; 0 while the call is queued. */
  readonly sentAtMs: number;
}

/** Condition of a leaf. Only a ready leaf receives calls. */
export type LeafCondition = "ready" | "cold" | "draining" | "down";

/** State of a leaf that the pool uses. */
export interface LeafState {
  readonly leafKey: string;
  readonly leaf: Leaf;
  readonly condition: LeafCondition;
  /** Time before which a ready signal is ignored, in milliseconds. */
  readonly ignoreReadyUntilMs: number;
  readonly inFlight: number;
  /** Ids of the flights that wait for a slot, next one first. */
  readonly queue: ReadonlyArray<string>;
  readonly serviceTimeMs: number;
  /** Time of the last answer, in milliseconds. */
  readonly answeredAtMs: number;
  /** Maximum number of slots in use; grows with each answer while the leaf warms up. */
  readonly warmSlots: number;
  /** Calls that failed since the last answer. */
  readonly failures: number;
  /** Probes that failed since the last signal. */
  readonly failedProbes: number;
}

/** State of a pool. */
export interface PoolState {
  readonly control: ControlState;
  readonly leafs: ImmutableMap<string, LeafState>;
  readonly flights: ImmutableMap<string, Flight>;
  /** Shareable flights by the hash of their share key. Lookups must also compare the key itself. */
  readonly flightByHash: ImmutableMap<number, string>;
  readonly flightByCall: ImmutableMap<string, string>;
  readonly entries: ImmutableSet<string>;
  readonly nextId: number;
}

/** Result of one step of the pool's core. */
export type PoolStep = Step<PoolState, PoolEffect>;

/**
 * Creates the state of a pool that has not started yet.
 *
 * @param options - Settings of the control slice.
 * @returns The state.
 */
export function newPoolState(options: ControlOptions): PoolState {
  return {
    control: newControl(options),
    leafs: ImmutableMap(),
    flights: ImmutableMap(),
    flightByHash: ImmutableMap(),
    flightByCall: ImmutableMap(),
    entries: ImmutableSet(),
    nextId: 1,
  };
}

/**
 * Creates the state of a leaf that has not been used or probed yet.
 *
 * @param leafKey - Key of the leaf.
 * @param leaf - The leaf.
 * @returns The state.
 */
export function newLeafState(leafKey: string, leaf: Leaf): LeafState {
  return {
    leafKey,
    leaf,
    condition: "ready",
    ignoreReadyUntilMs: 0,
    inFlight: 0,
    queue: [],
    serviceTimeMs: 0,
    answeredAtMs: 0,
    warmSlots: leaf.slots,
    failures: 0,
    failedProbes: 0,
  };
}
