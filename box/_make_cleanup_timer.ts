/**
 * Creates the timer of a box's periodic work: it ends overdue calls, drops expired state, decides
 * whether the box watches the store, and updates metrics.
 *
 * @module
 */
import { BOX_CLOCK } from "../clock/mod.js";
import type { ClusterState, FleetRoster } from "../cluster_state/mod.js";
import type { FleetView } from "../fleet/mod.js";
import type { StoreClient } from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { CallPath } from "./_make_call_path.js";
import { AdaptiveTimer } from "./adaptive_timer.js";
import type { BoxLifecycle } from "./box_lifecycle.js";
import { SlackReporter } from "./slack_reporter.js";

/**
 * Interval of checks for overdue calls and expired state while the box is active, in milliseconds.
 */
const CLEANUP_INTERVAL_MS = 200;

/** The same interval on a standby box, where nothing can be overdue, in milliseconds. */
const STANDBY_CLEANUP_INTERVAL_MS = 1_000;

/** Options of {@link makeCleanupTimer}. */
export interface MakeCleanupTimerOptions {
  readonly clusterState: ClusterState;
  readonly callPath: Pick<CallPath, "calls" | "relays">;
  readonly lifecycle: Pick<BoxLifecycle, "isStopping">;
  readonly view: Pick<FleetView, "slackShare" | "watchesStore">;
  readonly roster: Pick<FleetRoster, "check">;
  readonly store: Pick<StoreClient, "calls">;
  /** Lets the box serve once its state is complete. */
  readonly becomeReadyIfComplete: () => void;
  readonly telemetry: BoxTelemetry;
}

/**
 * Creates the timer.
 *
 * @param options - The parts with periodic work.
 * @returns The timer, not yet started.
 */
export function makeCleanupTimer(options: MakeCleanupTimerOptions): AdaptiveTimer {
  const { telemetry, view } = options;
  const slackReporter = new SlackReporter({ view, telemetry });
  return new AdaptiveTimer({
    busyIntervalMs: CLEANUP_INTERVAL_MS,
    idleIntervalMs: STANDBY_CLEANUP_INTERVAL_MS,
    isBusy: () => isBusy(options),
    run: () => cleanUp(options, slackReporter),
  });
}

/** Whether anything may become overdue within the standby interval. */
function isBusy({ callPath, clusterState }: MakeCleanupTimerOptions): boolean {
  const hasOpenCalls = callPath.calls.openCount + callPath.relays.openCount > 0;
  return hasOpenCalls || !clusterState.isComplete || clusterState.leafs.expiresAtMs.size > 0;
}

function cleanUp(options: MakeCleanupTimerOptions, slackReporter: SlackReporter): void {
  const { callPath, clusterState, lifecycle, roster, store, telemetry, view } = options;
  BOX_CLOCK.checkBootClock();
  callPath.calls.abandonOverdue();
  callPath.relays.abortOverdue();
  clusterState.dropExpired();
  // A stopping box no longer receives updates from others, so it watches the store itself.
  const isWatcher = lifecycle.isStopping || view.watchesStore();
  clusterState.setWatcher(isWatcher);
  // The wait for the orders of rollouts ends by time.
  options.becomeReadyIfComplete();
  roster.check();
  slackReporter.report();
  const answeredAgoMs = clusterState.storeAnsweredAgoMs;
  telemetry.setStoreStats({ calls: store.calls, answeredAgoMs });
}
