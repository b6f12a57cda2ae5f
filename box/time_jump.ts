/**
 * What a box does when the time of day has jumped forward: it may have been suspended.
 *
 * @module
 */
import type { ClockJump } from "../clock/mod.js";
import type { FleetLink, FleetView } from "../fleet/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { RequestRunner } from "./request_runner.js";

/** What is told of a jump. */
export interface TimeJumpOptions {
  readonly fleet: Pick<FleetLink, "requestUpdates">;
  readonly view: Pick<FleetView, "updateRecipients">;
  readonly runner: Pick<RequestRunner, "answerOverdue">;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/**
 * Takes in a jump. What was believed before a suspension may no longer hold, so other boxes are asked at once
 * unless the time of day was only stepped; requests are answered whose deadline passed meanwhile.
 *
 * @param jump - The jump.
 * @param options - What is told of it.
 */
export function handleTimeJump(
  { jumpMs, suspendedMs }: ClockJump,
  { fleet, runner, telemetry, view }: TimeJumpOptions,
): void {
  telemetry.event("warn", "clock: time of day jumped", {
    jumpMs: Math.round(jumpMs),
    suspendedMs: suspendedMs === undefined ? "unknown" : Math.round(suspendedMs),
  });
  if (suspendedMs === 0) {
    return;
  }
  fleet.requestUpdates(view.updateRecipients());
  if (suspendedMs !== undefined) {
    runner.answerOverdue();
  }
}
