/**
 * A service's limit as one entry keeps it: its own part, and what it borrows and lends.
 *
 * @module
 */
import type { ServiceEntry } from "../catalog/mod.js";
import { step } from "../core/mod.js";
import {
  admit,
  type BucketRate,
  entryRate,
  type LimitShare,
  lend,
  msUntilToken,
  newShare,
  receiveLoan,
} from "../limits/mod.js";
import { aliveMembers } from "../membership/mod.js";
import type { EntryEffect, EntryEvent } from "./entry_messages.js";
import type { EntryState, EntryStep } from "./entry_state.js";

/** Shortest wait that a refusal names, in milliseconds. */
const MIN_RETRY_MS = 20;

/** What came of asking for a token. */
export interface TokenTaken {
  readonly state: EntryState;
  /** Time until a token may be there; 0 when one was taken. */
  readonly waitMs: number;
}

/**
 * Takes a token of the service's limit.
 *
 * @param state - The entry's state.
 * @param service - The service.
 * @param nowMs - The present moment.
 * @returns Whether to wait, and the state after that.
 */
export function takeServiceToken(
  state: EntryState,
  service: ServiceEntry,
  nowMs: number,
): TokenTaken {
  const { limits } = service.config;
  if (limits.requestsPerSecond <= 0) {
    return { state, waitMs: 0 };
  }
  const rate = rateOf(state, service, nowMs);
  const { admitted, share } = admit(shareOf(state, service, nowMs), rate, { nowMs });
  const waitMs = admitted ? 0 : Math.max(MIN_RETRY_MS, msUntilToken(share.bucket, rate));
  return { state: putShare(state, service.config.service, share), waitMs };
}

/** Boxes with an entry that the box list names; a box that fell silent still has its part. */
function rateOf(state: EntryState, { config }: ServiceEntry, nowMs: number): BucketRate {
  const { boxList } = state.control.catalog;
  const entryBoxes = boxList.boxes.filter((box) => box.entryPeerPort > 0).length;
  const whole = { perSecond: config.limits.requestsPerSecond, burst: config.limits.burstRequests };
  return entryRate(whole, { entryBoxes, listedForMs: nowMs - state.control.listedAtMs });
}

function shareOf(state: EntryState, service: ServiceEntry, nowMs: number): LimitShare {
  const held = state.serviceShares.get(service.config.service);
  return held ?? newShare(rateOf(state, service, nowMs), { nowMs });
}

function putShare(state: EntryState, service: string, share: LimitShare): EntryState {
  return { ...state, serviceShares: state.serviceShares.set(service, share) };
}

/**
 * Asks another entry for tokens where callers were turned away; called with each tick.
 *
 * @param state - The entry's state.
 * @param nowMs - The present moment; picks the lender.
 * @returns The step.
 */
export function borrowTokens(state: EntryState, nowMs: number): EntryStep {
  const { self } = state.control.membership;
  const lenders = aliveMembers(state.control.membership, "entry").filter((member) => {
    return member.memberId !== self.memberId;
  });
  const lender = lenders[Math.floor(nowMs) % Math.max(1, lenders.length)];
  if (lender === undefined) {
    return step(state);
  }
  const short = state.serviceShares.filter(
    (share) => share.refusedSinceLoan > 0 && !share.borrowing,
  );
  const asking = short.map((share) => ({ ...share, borrowing: true, refusedSinceLoan: 0 }));
  const borrows = [...short].map(([service, share]) => {
    return { kind: "borrow", lender, service, tokens: share.refusedSinceLoan } as const;
  });
  const serviceShares = state.serviceShares.merge(asking);
  return step<EntryState, EntryEffect>({ ...state, serviceShares }, ...borrows);
}

/**
 * Lends tokens to another entry.
 *
 * @param state - The entry's state.
 * @param event - What is asked.
 * @returns The step; the tokens are taken off before they are sent.
 */
export function lendTokens(
  state: EntryState,
  event: Extract<EntryEvent, { readonly kind: "borrowArrived" }>,
): EntryStep {
  const { requestId, nowMs, tokens } = event;
  const service = state.control.catalog.services.get(event.service);
  if (service === undefined || service.config.limits.requestsPerSecond <= 0) {
    return step<EntryState, EntryEffect>(state, { kind: "replyBorrow", requestId, tokens: 0 });
  }
  const rate = rateOf(state, service, nowMs);
  const { lent, share } = lend(shareOf(state, service, nowMs), rate, { asked: tokens, nowMs });
  return step<EntryState, EntryEffect>(putShare(state, event.service, share), {
    kind: "replyBorrow",
    requestId,
    tokens: lent,
  });
}

/**
 * Takes in a loan.
 *
 * @param state - The entry's state.
 * @param event - Tokens lent; zero where the lender had none or did not answer.
 * @returns The step; a loan nobody awaits is dropped, since it may have come twice.
 */
export function takeLoan(
  state: EntryState,
  event: Extract<EntryEvent, { readonly kind: "loanArrived" }>,
): EntryStep {
  const share = state.serviceShares.get(event.service);
  return share?.borrowing === true
    ? step(putShare(state, event.service, receiveLoan(share, event.tokens)))
    : step(state);
}
