/**
 * Handles a forward jump of the system clock, which may mean that the box was suspended.
 *
 * @module
 */
import type { ClockJump } from "../clock/mod.js";
import type { FleetLink, FleetView } from "../fleet/mod.js";
import type { RelayCalls } from "../relay/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { RequestRunner } from "./request_runner.js";

/** Components that are notified of a jump. */
export interface TimeJumpOptions {
  readonly fleet: Pick<FleetLink, "requestUpdates">;
  readonly view: Pick<FleetView, "updateRecipients">;
  readonly relays: Pick<RelayCalls, "renewClock">;
  readonly runner: Pick<RequestRunner, "answerOverdue">;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/**
 * Handles a jump. State from before a suspension may be outdated, so unless only the system clock
 * was adjusted the other boxes are queried immediately, and requests whose deadline has passed are
 * answered.
 *
 * @param jump - The jump; without a suspension time it is unknown whether the box was suspended.
 * @param options - Components to notify.
 */
export function handleTimeJump(
  { jumpMs, suspendedMs }: ClockJump,
  { fleet, relays, runner, telemetry, view }: TimeJumpOptions,
): void {
  telemetry.event("warn", "clock: time of day jumped", {
    jumpMs: Math.round(jumpMs),
    suspendedMs: suspendedMs === undefined ? "unknown" : Math.round(suspendedMs),
  });
  if (suspendedMs === 0) {
    return;
  }
  relays.renewClock();
  fleet.requestUpdates(view.updateRecipients());
  if (suspendedMs !== undefined) {
    runner.answerOverdue();
  }
}
