/**
 * Creates a box's budgets of extra calls from its settings and its view of the fleet.
 *
 * @module
 */
import { ExtraCallBudgets } from "../extra_calls/mod.js";
import type { FleetView } from "../fleet/mod.js";
import type { BoxSettings } from "../platform/mod.js";

/** Options of {@link makeBudgets}. */
export interface MakeBudgetsOptions {
  /** Returns the current settings. */
  readonly settings: () => BoxSettings;
  readonly view: FleetView;
  readonly nowMs: () => number;
}

/**
 * Creates the budgets.
 *
 * @param options - Settings and fleet view that the budgets read.
 * @returns The budgets.
 */
export function makeBudgets({ nowMs, settings, view }: MakeBudgetsOptions): ExtraCallBudgets {
  return new ExtraCallBudgets({
    nowMs,
    share: () => settings().extraCallShare,
    slackCalls: () => settings().extraCallSlack,
    windowMs: () => settings().extraCallWindowMs,
    slackShare: () => view.slackShare().share,
  });
}
