/**
 * Exchanges with other daemons: membership, updates and missing objects.
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
import { exchangeWith, gossip, makeExchange, pickOne, revisionOf } from "./gossip.js";

/** Number of ticks between exchanges with an address that has no live member. */
const SEED_INTERVAL_TICKS = 3;

/** Time after which a requested object may be requested from another peer, in milliseconds. */
const FETCH_TIMEOUT_MS = 1_000;

/**
 * Exchanges with one other daemon, and periodically with an address that has no live member.
 *
 * @param state - The control state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function exchangeRegularly(state: ControlState, nowMs: number): ControlStep {
  const targets = [...state.membership.records.values()]
    .map((record) => record.member)
    .filter((member) => member.state !== "dead");
  const seeds =
    targets.length === 0 || state.ticks % SEED_INTERVAL_TICKS === 0
      ? unclaimedAddresses(state)
      : [];
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

/** Returns the addresses in the settings and the box list that have no live member. */
function unclaimedAddresses(state: ControlState): ReadonlyArray<PeerAddress> {
  const { self, records } = state.membership;
  const claimed = new Set([addressKey(self)]);
  for (const { member } of records.values()) {
    if (member.state !== "dead") {
      claimed.add(addressKey(member));
    }
  }
  const listed = state.catalog.boxList.boxes.flatMap((box) =>
    [box.entryPeerPort, box.poolPeerPort]
      .filter((port) => port > 0)
      .map((peerPort) => ({ address: box.address, peerPort })),
  );
  return [...state.seeds, ...listed].filter((peer) => !claimed.has(addressKey(peer)));
}

function addressKey(peer: PeerAddress): string {
  return `${peer.address}:${peer.peerPort}`;
}

/**
 * Answers another daemon's exchange.
 *
 * @param state - The control state.
 * @param event - The exchange.
 * @returns The step, with the reply.
 */
export function onExchangeArrived(
  state: ControlState,
  { nowMs, requestId, exchange }: Extract<ControlEvent, { readonly kind: "exchangeArrived" }>,
): ControlStep {
  return andThen(applyExchange(state, exchange, nowMs), (merged) => {
    const [base, next] = makeExchange(merged, { nowMs, revisions: [], joining: false });
    const differs = exchange.catalogHash !== merged.catalog.hash;
    const reply: Exchange = {
      ...base,
      members: exchange.joining ? allMembers(merged) : base.members,
      revisions: differs ? allRevisions(merged.catalog) : [],
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
 * Applies the reply to an exchange.
 *
 * @param state - The control state.
 * @param event - The reply.
 * @returns The step.
 */
export function onExchangeAnswered(
  state: ControlState,
  { nowMs, peer, exchange }: Extract<ControlEvent, { readonly kind: "exchangeAnswered" }>,
): ControlStep {
  return andThen(applyExchange(state, exchange, nowMs), (merged) =>
    exchange.revisions.length === 0
      ? step<ControlState, ControlEffect>(merged)
      : sendMissing(merged, { peer, exchange, nowMs }),
  );
}

interface SendMissingOptions {
  readonly peer: PeerAddress;
  readonly exchange: Exchange;
  readonly nowMs: number;
}

/** Sends the revisions that the peer lacks, given the list of all its revisions. */
function sendMissing(
  state: ControlState,
  { peer, exchange, nowMs }: SendMissingOptions,
): ControlStep {
  const theirs = new Map(exchange.revisions.map(({ key, revision }) => [key, revision]));
  const missing = [...state.catalog.objects.values()]
    .map(revisionOf)
    .filter(({ key, revision }) => revision > (theirs.get(key) ?? 0));
  const target = { ...peer, memberId: exchange.self.memberId };
  return missing.length === 0
    ? step(state)
    : exchangeWith(state, target, { nowMs, revisions: missing });
}

/** Fetches the objects that are newer at the peer, unless they are being fetched already. */
function fetchNewer(
  state: ControlState,
  { self, revisions }: Exchange,
  nowMs: number,
): ControlStep {
  const wanted = revisions.filter(({ key, revision }) => {
    const current = state.catalog.objects.get(key)?.revision ?? 0;
    const pending = state.fetching.get(key);
    const isPending =
      pending !== undefined &&
      pending.revision >= revision &&
      nowMs - pending.atMs < FETCH_TIMEOUT_MS;
    return revision > current && !isPending;
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

function applyExchange(state: ControlState, exchange: Exchange, nowMs: number): ControlStep {
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
  const merged: ControlState = {
    ...state,
    membership,
    confirmedAtMs,
    lastBoxContactAtMs: otherBox ? nowMs : state.lastBoxContactAtMs,
    hasPeerContact: state.hasPeerContact || (otherBox && exchange.catalogHash !== 0),
  };
  const logs = changed.map((member) =>
    logInfo("membership", `${member.memberId} is ${member.state}`, {
      incarnation: member.incarnation,
    }),
  );
  const isLeaving = changed.some(({ state: phase }) => phase === "leaving");
  const applied = andThen(step<ControlState, ControlEffect>(merged, ...logs), (next) =>
    fetchNewer(next, exchange, nowMs),
  );
  // Callers cache address lists, so a leaving entry is announced without waiting for the next tick.
  return isLeaving ? andThen(applied, (next) => gossip(next, [], nowMs)) : applied;
}

/**
 * Records that a daemon did not answer an exchange.
 *
 * @param state - The control state.
 * @param event - The daemon that did not answer.
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
