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
  /** Addresses to contact before any member is known. */
  readonly seeds: ReadonlyArray<PeerAddress>;
  /** Time for which callers may use an address list, in milliseconds. */
  readonly adviceKeepMs?: number;
}

/** State of the control slice. */
export interface ControlState {
  readonly membership: Membership;
  readonly catalog: Catalog;
  readonly lifecycle: Lifecycle;
  readonly random: RandomGenerator;
  /** Revisions requested from a peer, and the time of the request. */
  readonly fetching: ImmutableMap<string, { readonly revision: number; readonly atMs: number }>;
  readonly seeds: ReadonlyArray<PeerAddress>;
  readonly adviceKeepMs: number;
  readonly startedAtMs: number;
  readonly ticks: number;
  readonly watching: boolean;
  readonly lastBoxContactAtMs: number;
  readonly lastPlatformContactAtMs: number;
  readonly confirmedAtMs: number;
  /** Time at which the box list first contained this box; infinite before that. */
  readonly listedAtMs: number;
  readonly hasPlatformData: boolean;
  readonly hasPeerContact: boolean;
}

/** One step of the control slice. */
export type ControlStep = Step<ControlState, ControlEffect>;

/**
 * Creates the control state of a daemon that has not started yet.
 *
 * @param options - Settings of the control slice.
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
    lastBoxContactAtMs: Number.NEGATIVE_INFINITY,
    lastPlatformContactAtMs: Number.NEGATIVE_INFINITY,
    confirmedAtMs: Number.NEGATIVE_INFINITY,
    listedAtMs: Number.POSITIVE_INFINITY,
    hasPlatformData: false,
    hasPeerContact: false,
  };
}
