/**
 * Exchanges with other daemons: membership, news, and what each lacks.
 *
 * @module
 */
import type { Catalog } from "../catalog/mod.js";
import { andThen, logInfo, logWarn, step } from "../core/mod.js";
import { mergeMembers, suspectMember } from "../membership/mod.js";
import type { Member } from "../model/mod.js";
import type {
  ControlEffect,
  ControlEvent,
  Exchange,
  ObjectRevision,
  PeerAddress,
} from "./control_messages.js";
import type { ControlState, ControlStep } from "./control_state.js";
import { exchangeWith, makeExchange, passOn, pickOne, revisionOf } from "./make_exchange.js";

/** Every so many ticks an address is tried that membership does not hold for alive. */
const SEED_EVERY_TICKS = 3;

/** Time after which an object asked of one peer is asked of another, in milliseconds. */
const FETCH_MS = 1_000;

/**
 * Exchanges with one other daemon, and now and then with an address that membership does not hold
 * for alive.
 *
 * @param state - The control state.
 * @param nowMs - The present moment.
 * @returns The step.
 */
export function exchangeRegularly(state: ControlState, nowMs: number): ControlStep {
  const targets = [...state.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.state !== "dead");
  const seeds = targets.length === 0 || state.ticks % SEED_EVERY_TICKS === 0 ? unheld(state) : [];
  const [target, afterTarget] = pickOne(state, targets);
  const [seed, afterSeed] = pickOne(afterTarget, seeds);
  const toTarget =
    target === undefined
      ? step<ControlState, ControlEffect>(afterSeed)
      : exchangeWith(afterSeed, target, { nowMs });
  return seed === undefined
    ? toTarget
    : andThen(toTarget, (next) => exchangeWith(next, { ...seed, memberId: "" }, { nowMs }));
}

/** Addresses from settings and box list that no live member stands at. */
function unheld(state: ControlState): ReadonlyArray<PeerAddress> {
  const { self, records } = state.membership;
  const held = new Set([addressKey(self)]);
  for (const { member } of records.values()) {
    if (member.state !== "dead") {
      held.add(addressKey(member));
    }
  }
  const listed = state.catalog.boxList.boxes.flatMap((box) =>
    [box.entryPeerPort, box.poolPeerPort]
      .filter((port) => port > 0)
      .map((peerPort) => ({ address: box.address, peerPort })),
  );
  return [...state.seeds, ...listed].filter((peer) => !held.has(addressKey(peer)));
}

function addressKey(peer: PeerAddress): string {
  return `${peer.address}:${peer.peerPort}`;
}

/**
 * Answers another daemon's exchange.
 *
 * @param state - The control state.
 * @param event - What it says.
 * @returns The step, with the reply.
 */
export function onExchangeArrived(
  state: ControlState,
  { nowMs, requestId, exchange }: Extract<ControlEvent, { readonly kind: "exchangeArrived" }>,
): ControlStep {
  return andThen(hear(state, exchange, nowMs), (heard) => {
    const [made, next] = makeExchange(heard, { nowMs, revisions: [], joining: false });
    const differs = exchange.catalogHash !== heard.catalog.hash;
    const reply: Exchange = {
      ...made,
      members: exchange.joining ? allMembers(heard) : made.members,
      revisions: differs ? allRevisions(heard.catalog) : [],
    };
    return step(next, { kind: "replyExchange", requestId, exchange: reply });
  });
}

function allMembers(state: ControlState): ReadonlyArray<Member> {
  return [...state.membership.records.values()].map((record) => record.member);
}

function allRevisions(catalog: Catalog): ReadonlyArray<ObjectRevision> {
  return [...catalog.objects].map(([key, object]) => ({ key, revision: object.revision }));
}

/**
 * Takes in the reply to an exchange.
 *
 * @param state - The control state.
 * @param event - The reply.
 * @returns The step.
 */
export function onExchangeAnswered(
  state: ControlState,
  { nowMs, peer, exchange }: Extract<ControlEvent, { readonly kind: "exchangeAnswered" }>,
): ControlStep {
  return andThen(hear(state, exchange, nowMs), (heard) =>
    exchange.revisions.length === 0
      ? step<ControlState, ControlEffect>(heard)
      : tellOwed(heard, { peer, exchange, nowMs }),
  );
}

interface TellOwedOptions {
  readonly peer: PeerAddress;
  readonly exchange: Exchange;
  readonly nowMs: number;
}

/** Tells the peer of what it lacks, by the list of all that it holds. */
function tellOwed(state: ControlState, { peer, exchange, nowMs }: TellOwedOptions): ControlStep {
  const theirs = new Map(exchange.revisions.map(({ key, revision }) => [key, revision]));
  const owed = [...state.catalog.objects.values()]
    .map(revisionOf)
    .filter(({ key, revision }) => revision > (theirs.get(key) ?? 0));
  const target = { ...peer, memberId: exchange.self.memberId };
  return owed.length === 0 ? step(state) : exchangeWith(state, target, { nowMs, revisions: owed });
}

/** Fetches from a peer what it holds newer, unless the same is being fetched already. */
function fetchNews(state: ControlState, { self, revisions }: Exchange, nowMs: number): ControlStep {
  const wanted = revisions.filter(({ key, revision }) => {
    const held = state.catalog.objects.get(key)?.revision ?? 0;
    const asked = state.fetching.get(key);
    const isAsked =
      asked !== undefined && asked.revision >= revision && nowMs - asked.atMs < FETCH_MS;
    return revision > held && !isAsked;
  });
  if (wanted.length === 0) {
    return step(state);
  }
  const fetching = state.fetching.merge(
    wanted.map(({ key, revision }) => [key, { revision, atMs: nowMs }]),
  );
  const { address, peerPort } = self;
  return step<ControlState, ControlEffect>(
    { ...state, fetching },
    { kind: "fetchObjects", peer: { address, peerPort }, keys: wanted.map(({ key }) => key) },
  );
}

function hear(state: ControlState, exchange: Exchange, nowMs: number): ControlStep {
  const { membership, changed } = mergeMembers(
    state.membership,
    [exchange.self, ...exchange.members],
    { nowMs },
  );
  const { self } = state.membership;
  const otherBox = exchange.self.box !== self.box;
  const sameCatalog = exchange.catalogHash === state.catalog.hash;
  const confirmedAtMs = sameCatalog
    ? Math.max(state.confirmedAtMs, nowMs - exchange.confirmedAgoMs)
    : state.confirmedAtMs;
  const heard: ControlState = {
    ...state,
    membership,
    confirmedAtMs,
    heardOtherBoxAtMs: otherBox ? nowMs : state.heardOtherBoxAtMs,
    peerHeard: state.peerHeard || (otherBox && exchange.catalogHash !== 0),
  };
  const logs = changed.map((member) =>
    logInfo("membership", `${member.memberId} is ${member.state}`, {
      incarnation: member.incarnation,
    }),
  );
  const isLeaving = changed.some(({ state: phase }) => phase === "leaving");
  const told = andThen(step<ControlState, ControlEffect>(heard, ...logs), (next) =>
    fetchNews(next, exchange, nowMs),
  );
  // Callers keep advice for seconds, so an entry that leaves is told of without waiting for a tick.
  return isLeaving ? andThen(told, (next) => passOn(next, [], nowMs)) : told;
}

/**
 * Notes that a daemon did not answer an exchange.
 *
 * @param state - The control state.
 * @param event - Who did not.
 * @returns The step.
 */
export function onExchangeFailed(
  state: ControlState,
  { nowMs, memberId }: Extract<ControlEvent, { readonly kind: "exchangeFailed" }>,
): ControlStep {
  if (memberId === "") {
    return step(state);
  }
  const membership = suspectMember(state.membership, memberId, { nowMs });
  const after = membership.records.get(memberId)?.member.state;
  return membership === state.membership
    ? step(state)
    : step({ ...state, membership }, logWarn("membership", `${memberId} is ${after}`));
}
