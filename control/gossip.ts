/**
 * Builds exchanges with other daemons, and gossips updates to a few of them.
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

/** Number of daemons that an update is gossiped to. */
export const GOSSIP_FANOUT = 4;

/**
 * Picks a random item with the state's random generator.
 *
 * @param state - The control state.
 * @param items - The items.
 * @returns The item, or `undefined` if there is none, and the state after the draw.
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

/** Options of {@link exchangeWith}. */
export interface ExchangeOptions {
  readonly nowMs: number;
  /** Updated revisions that the other daemon may fetch. */
  readonly revisions?: ReadonlyArray<ObjectRevision>;
}

/**
 * Exchanges with one other daemon.
 *
 * @param state - The control state.
 * @param peer - The daemon; its ID is empty if only its address is known.
 * @param options - The current time, and updated revisions.
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

/** Options of {@link makeExchange}. */
export interface MakeExchangeOptions {
  readonly nowMs: number;
  readonly revisions: ReadonlyArray<ObjectRevision>;
  readonly joining: boolean;
}

/**
 * Builds the exchange that this daemon sends.
 *
 * @param state - The control state.
 * @param options - The current time, updated revisions, and whether this daemon is joining.
 * @returns The exchange, and the state after the random draws.
 */
export function makeExchange(
  state: ControlState,
  { nowMs, revisions, joining }: MakeExchangeOptions,
): readonly [Exchange, ControlState] {
  let random = state.random;
  const { membership, piggybackMembers } = selectPiggybackMembers(state.membership, (count) => {
    const [index, nextRandom] = prand.uniformIntDistribution(0, count - 1, random);
    random = nextRandom;
    return index;
  });
  const exchange: Exchange = {
    self: membership.self,
    members: piggybackMembers,
    catalogHash: state.catalog.hash,
    revisions,
    confirmedAgoMs: confirmedAgoMs(state, nowMs),
    joining,
  };
  return [exchange, { ...state, membership, random }];
}

/**
 * Gossips updated objects to a few random daemons, which fetch the ones that they lack and gossip
 * in turn. An exchange always includes this daemon's own state, so without objects only that is
 * sent.
 */
export function gossip(
  state: ControlState,
  objects: ReadonlyArray<CatalogObject>,
  nowMs: number,
): ControlStep {
  const revisions = objects.map(revisionOf);
  let targets = [...state.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.state !== "dead");
  let result = step<ControlState, ControlEffect>(state);
  for (let sent = 0; sent < GOSSIP_FANOUT && targets.length > 0; sent++) {
    const [target, picked] = pickOne(result.state, targets);
    targets = targets.filter((member) => member !== target);
    if (target !== undefined) {
      const exchanged = exchangeWith(picked, target, { nowMs, revisions });
      result = { state: exchanged.state, effects: [...result.effects, ...exchanged.effects] };
    }
  }
  return result;
}

/**
 * Returns an object's key with its revision.
 *
 * @param object - The object.
 * @returns Its key and revision.
 */
export function revisionOf({ kind, name, revision }: CatalogObject): ObjectRevision {
  return { key: objectKey(kind, name), revision };
}
