/**
 * Makes a box's budgets of extra calls: what is allowed stands in its settings, its share in its view of
 * the fleet.
 *
 * @module
 */
import { ExtraCallBudgets } from "../extra_calls/mod.js";
import type { FleetView } from "../fleet/mod.js";
import type { BoxSettings } from "../platform/mod.js";

/** What the budgets are made from. */
export interface MakeBudgetsOptions {
  /** Settings in force. */
  readonly settings: () => BoxSettings;
  readonly view: FleetView;
  readonly nowMs: () => number;
}

/**
 * Makes the budgets.
 *
 * @param options - What they are made from.
 * @returns The budgets.
 */
export function makeBudgets({ nowMs, settings, view }: MakeBudgetsOptions): ExtraCallBudgets {
  return new ExtraCallBudgets({
    nowMs,
    share: () => settings().extraCallShare,
    slackCalls: () => settings().extraCallSlack,
    windowMs: () => settings().extraCallWindowMs,
    slackShare: () => view.slackShare(),
  });
}
