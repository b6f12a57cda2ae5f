/**
 * Makes exchanges with other daemons, and passes news on to a few of them.
 *
 * @module
 */
import prand from "pure-rand";
import { objectKey } from "../catalog/mod.js";
import { step } from "../core/mod.js";
import { selectPiggybackMembers } from "../membership/mod.js";
import type { CatalogObject } from "../model/mod.js";
import type { ControlEffect, Exchange, ObjectRevision, PeerAddress } from "./control_messages.js";
import type { ControlState, ControlStep } from "./control_state.js";
import { confirmedAgoMs } from "./isolation.js";

/** Daemons that news is passed on to at once. */
export const RUMOUR_FANOUT = 4;

/**
 * Picks one of some items by the state's own random numbers.
 *
 * @param state - The control state.
 * @param items - The items.
 * @returns The item, nothing where there is none, and the state after the draw.
 */
export function pickOne<T>(
  state: ControlState,
  items: ReadonlyArray<T>,
): readonly [T | undefined, ControlState] {
  if (items.length === 0) {
    return [undefined, state];
  }
  const [index, random] = prand.uniformIntDistribution(0, items.length - 1, state.random);
  return [items[index], { ...state, random }];
}

/** How an exchange is made. */
export interface ExchangeOptions {
  readonly nowMs: number;
  /** News that the other daemon may fetch. */
  readonly revisions?: ReadonlyArray<ObjectRevision>;
}

/**
 * Exchanges with one other daemon.
 *
 * @param state - The control state.
 * @param peer - The daemon; its id is empty where only an address is known.
 * @param options - The present moment, and news.
 * @returns The step.
 */
export function exchangeWith(
  state: ControlState,
  peer: PeerAddress & { readonly memberId: string },
  { nowMs, revisions = [] }: ExchangeOptions,
): ControlStep {
  const joining = state.membership.records.isEmpty();
  const [exchange, next] = makeExchange(state, { nowMs, revisions, joining });
  const { address, peerPort, memberId } = peer;
  return step(next, { kind: "exchange", peer: { address, peerPort }, memberId, exchange });
}

/** What an exchange tells. */
export interface MakeExchangeOptions {
  readonly nowMs: number;
  readonly revisions: ReadonlyArray<ObjectRevision>;
  readonly joining: boolean;
}

/**
 * Makes what one daemon tells another.
 *
 * @param state - The control state.
 * @param options - The present moment, news, and whether this daemon is new.
 * @returns The exchange, and the state after the draws for it.
 */
export function makeExchange(
  state: ControlState,
  { nowMs, revisions, joining }: MakeExchangeOptions,
): readonly [Exchange, ControlState] {
  let random = state.random;
  const { membership, piggybackMembers: riders } = selectPiggybackMembers(
    state.membership,
    (count) => {
      const [index, nextRandom] = prand.uniformIntDistribution(0, count - 1, random);
      random = nextRandom;
      return index;
    },
  );
  const exchange: Exchange = {
    self: membership.self,
    members: riders,
    catalogHash: state.catalog.hash,
    revisions,
    confirmedAgoMs: confirmedAgoMs(state, nowMs),
    joining,
  };
  return [exchange, { ...state, membership, random }];
}

/**
 * Tells news to a few daemons picked at random; each that finds it new fetches it once and does the
 * same. The daemon's own state goes along, so that without objects it tells just that.
 */
export function passOn(
  state: ControlState,
  objects: ReadonlyArray<CatalogObject>,
  nowMs: number,
): ControlStep {
  const revisions = objects.map(revisionOf);
  let targets = [...state.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.state !== "dead");
  let passed = step<ControlState, ControlEffect>(state);
  for (let sent = 0; sent < RUMOUR_FANOUT && targets.length > 0; sent++) {
    const [target, picked] = pickOne(passed.state, targets);
    targets = targets.filter((member) => member !== target);
    if (target !== undefined) {
      const told = exchangeWith(picked, target, { nowMs, revisions });
      passed = { state: told.state, effects: [...passed.effects, ...told.effects] };
    }
  }
  return passed;
}

/**
 * Names an object with its revision.
 *
 * @param object - The object.
 * @returns Its key and revision.
 */
export function revisionOf({ kind, name, revision }: CatalogObject): ObjectRevision {
  return { key: objectKey(kind, name), revision };
}
