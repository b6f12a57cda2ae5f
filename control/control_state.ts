/**
 * State of the control slice.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import prand, { type RandomGenerator } from "pure-rand";
import { type Catalog, EMPTY_CATALOG } from "../catalog/mod.js";
import type { Step } from "../core/mod.js";
import { fnv1a } from "../hashing/mod.js";
import { INITIAL_LIFECYCLE, type Lifecycle } from "../lifecycle/mod.js";
import { createMembership, type Membership } from "../membership/mod.js";
import { ADDRESS_LIST_TTL_MS, type Member } from "../model/mod.js";
import type { ControlEffect, PeerAddress } from "./control_messages.js";

/** Settings of the control slice. */
export interface ControlOptions {
  readonly self: Member;
  /** Addresses to try before any member is known. */
  readonly seeds: ReadonlyArray<PeerAddress>;
  /** Time that callers may keep advice, in milliseconds. */
  readonly adviceKeepMs?: number;
}

/** State of the control slice. */
export interface ControlState {
  readonly membership: Membership;
  readonly catalog: Catalog;
  readonly lifecycle: Lifecycle;
  readonly random: RandomGenerator;
  /** Revisions asked of a peer, and when. */
  readonly fetching: ImmutableMap<string, { readonly revision: number; readonly atMs: number }>;
  readonly seeds: ReadonlyArray<PeerAddress>;
  readonly adviceKeepMs: number;
  readonly startedAtMs: number;
  readonly ticks: number;
  readonly watching: boolean;
  readonly heardOtherBoxAtMs: number;
  readonly heardPlatformAtMs: number;
  readonly confirmedAtMs: number;
  /** When the box list first named this box; infinite before. */
  readonly listedAtMs: number;
  readonly platformHeard: boolean;
  readonly peerHeard: boolean;
}

/** One step of the control slice. */
export type ControlStep = Step<ControlState, ControlEffect>;

/**
 * Makes the control state of a daemon that has not started yet.
 *
 * @param options - Its settings.
 * @returns The state.
 */
export function newControl(options: ControlOptions): ControlState {
  return {
    membership: createMembership(options.self),
    catalog: EMPTY_CATALOG,
    lifecycle: INITIAL_LIFECYCLE,
    random: prand.xoroshiro128plus(fnv1a(options.self.incarnation)),
    fetching: ImmutableMap(),
    seeds: options.seeds,
    adviceKeepMs: options.adviceKeepMs ?? ADDRESS_LIST_TTL_MS,
    startedAtMs: Number.NEGATIVE_INFINITY,
    ticks: 0,
    watching: false,
    heardOtherBoxAtMs: Number.NEGATIVE_INFINITY,
    heardPlatformAtMs: Number.NEGATIVE_INFINITY,
    confirmedAtMs: Number.NEGATIVE_INFINITY,
    listedAtMs: Number.POSITIVE_INFINITY,
    platformHeard: false,
    peerHeard: false,
  };
}
