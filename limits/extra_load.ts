/**
 * The budget that pays for hedges and retries: a fraction of the first calls.
 *
 * @module
 */

/** A service's remaining budget of extra leaf calls. */
export interface ExtraLoadBudget {
  /** Number of extra calls that may be made now. */
  readonly tokens: number;
}

/** Kind of an extra call. Retries may use the reserve that hedges must leave. */
export type ExtraCallKind = "hedge" | "retry";

/** Default capacity of a budget, in extra calls. */
export const EXTRA_LOAD_BURST = 20;

/** Reserve that each kind of call must leave, as a fraction of the capacity. */
const RESERVE_SHARES: Readonly<Record<ExtraCallKind, number>> = { hedge: 0.4, retry: 0 };

/** Refill rate and capacity of a budget. */
export interface ExtraLoadTerms {
  /** Extra calls added by each first call. */
  readonly extraLoadShare: number;
  /** Capacity of the budget, in extra calls. */
  readonly burstCalls?: number;
}

/** A full budget of the default capacity. */
export const FULL_BUDGET: ExtraLoadBudget = { tokens: EXTRA_LOAD_BURST };

/**
 * Credits first calls to a budget.
 *
 * @param budget - Current budget.
 * @param calls - Number of first calls.
 * @param options - The service's share of extra calls, and the capacity of the budget.
 * @returns The updated budget.
 */
export function creditFirstCalls(
  budget: ExtraLoadBudget,
  calls: number,
  { extraLoadShare, burstCalls = EXTRA_LOAD_BURST }: ExtraLoadTerms,
): ExtraLoadBudget {
  return { tokens: Math.min(burstCalls, budget.tokens + calls * extraLoadShare) };
}

/**
 * Takes one extra call from a budget.
 *
 * @param budget - Current budget.
 * @param kind - Kind of the call.
 * @param options - Capacity of the budget.
 * @returns The updated budget, or `undefined` if it does not allow the call.
 */
export function takeExtraCall(
  budget: ExtraLoadBudget,
  kind: ExtraCallKind,
  { burstCalls = EXTRA_LOAD_BURST }: Pick<ExtraLoadTerms, "burstCalls"> = {},
): ExtraLoadBudget | undefined {
  const remaining = budget.tokens - 1;
  return remaining >= RESERVE_SHARES[kind] * burstCalls ? { tokens: remaining } : undefined;
}
