/**
 * The budget that hedges and retries are paid from: a share of the first calls.
 *
 * @module
 */

/** What a service may still spend on extra leaf calls. */
export interface ExtraLoadBudget {
  /** Extra calls that may be made now. */
  readonly tokens: number;
}

/** What an extra call is for; retries may use what hedges must leave over. */
export type ExtraCallKind = "hedge" | "retry";

/** Extra calls that a budget starts with and holds at most. */
export const EXTRA_LOAD_BURST = 20;

/** Share of the most that a budget holds which each kind of call must leave over. */
const FLOOR_SHARES: Readonly<Record<ExtraCallKind, number>> = { hedge: 0.4, retry: 0 };

/** How fast a budget grows, and how far. */
export interface ExtraLoadTerms {
  /** Extra calls that each first call adds. */
  readonly extraLoadShare: number;
  /** Most extra calls that the budget holds. */
  readonly burstCalls?: number;
}

/** A budget nothing was spent from. */
export const FULL_BUDGET: ExtraLoadBudget = { tokens: EXTRA_LOAD_BURST };

/**
 * Credits first calls to a budget.
 *
 * @param budget - Budget so far.
 * @param calls - First calls made.
 * @param options - The service's share of extra calls, and the most that the budget holds.
 * @returns The budget after that.
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
 * @param budget - Budget so far.
 * @param kind - What the call is for.
 * @param options - Most extra calls that the budget holds; by default as many as at its start.
 * @returns The budget after that, or nothing when it does not allow the call.
 */
export function takeExtraCall(
  budget: ExtraLoadBudget,
  kind: ExtraCallKind,
  { burstCalls = EXTRA_LOAD_BURST }: Pick<ExtraLoadTerms, "burstCalls"> = {},
): ExtraLoadBudget | undefined {
  const left = budget.tokens - 1;
  return left >= FLOOR_SHARES[kind] * burstCalls ? { tokens: left } : undefined;
}
