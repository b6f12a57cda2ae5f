/**
 * One entry's share of a service's limit, and the tokens that it borrows and lends.
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

/** Minimum retry delay of a refusal, in milliseconds. */
const MIN_RETRY_DELAY_MS = 20;

/** Result of taking a token. */
export interface TokenResult {
  readonly state: EntryState;
  /** Time until a token may be available, in milliseconds; 0 if one was taken. */
  readonly waitMs: number;
}

/**
 * Takes a token from this entry's share of the service's limit.
 *
 * @param state - The entry's state.
 * @param service - The service.
 * @param nowMs - Current time, in milliseconds.
 * @returns Time until a token may be available, and the updated state.
 */
export function takeServiceToken(
  state: EntryState,
  service: ServiceEntry,
  nowMs: number,
): TokenResult {
  const { limits } = service.config;
  if (limits.requestsPerSecond <= 0) {
    return { state, waitMs: 0 };
  }
  const rate = rateOf(state, service, nowMs);
  const { admitted, share } = admit(shareOf(state, service, nowMs), rate, { nowMs });
  const waitMs = admitted ? 0 : Math.max(MIN_RETRY_DELAY_MS, msUntilToken(share.bucket, rate));
  return { state: putShare(state, service.config.service, share), waitMs };
}

/**
 * Divides the limit by the boxes that the box list gives an entry; unresponsive boxes keep their
 * share.
 */
function rateOf(state: EntryState, { config }: ServiceEntry, nowMs: number): BucketRate {
  const { boxList } = state.control.catalog;
  const entryBoxes = boxList.boxes.filter((box) => box.entryPeerPort > 0).length;
  const total = { perSecond: config.limits.requestsPerSecond, burst: config.limits.burstRequests };
  return entryRate(total, { entryBoxes, listedForMs: nowMs - state.control.listedAtMs });
}

function shareOf(state: EntryState, service: ServiceEntry, nowMs: number): LimitShare {
  const stored = state.serviceShares.get(service.config.service);
  return stored ?? newShare(rateOf(state, service, nowMs), { nowMs });
}

function putShare(state: EntryState, service: string, share: LimitShare): EntryState {
  return { ...state, serviceShares: state.serviceShares.set(service, share) };
}

/**
 * Requests tokens from another entry if callers were refused; called on each tick.
 *
 * @param state - The entry's state.
 * @param nowMs - Current time, in milliseconds; it also selects the lender.
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
  const exhausted = state.serviceShares.filter(
    (share) => share.refusedSinceLoan > 0 && !share.borrowing,
  );
  const requesting = exhausted.map((share) => ({ ...share, borrowing: true, refusedSinceLoan: 0 }));
  const borrows = [...exhausted].map(([service, share]) => {
    return { kind: "borrow", lender, service, tokens: share.refusedSinceLoan } as const;
  });
  const serviceShares = state.serviceShares.merge(requesting);
  return step<EntryState, EntryEffect>({ ...state, serviceShares }, ...borrows);
}

/**
 * Lends tokens to another entry.
 *
 * @param state - The entry's state.
 * @param event - The request for tokens.
 * @returns The step; the tokens are deducted before they are sent.
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
 * Applies a loan.
 *
 * @param state - The entry's state.
 * @param event - Tokens lent; zero if the lender had none or did not answer.
 * @returns The step; an unexpected loan is dropped, since it may be a duplicate.
 */
export function applyLoan(
  state: EntryState,
  event: Extract<EntryEvent, { readonly kind: "loanArrived" }>,
): EntryStep {
  const share = state.serviceShares.get(event.service);
  return share?.borrowing === true
    ? step(putShare(state, event.service, receiveLoan(share, event.tokens)))
    : step(state);
}
