/**
 * Detects whether a daemon is isolated from every source of updates.
 *
 * @module
 */
import type { ControlState } from "./control_state.js";

/**
 * Time without contact with the platform or another box after which a box is isolated, in
 * milliseconds.
 */
export const ISOLATED_MS = 4_000;

/**
 * Returns whether the daemon has had no contact with the platform or another box for too long.
 * Boxes that reach each other but not the platform are not isolated.
 *
 * @param state - The control state.
 * @param nowMs - Current time, in milliseconds.
 * @returns Whether new work must be refused.
 */
export function isIsolated(state: ControlState, nowMs: number): boolean {
  const lastContactAtMs = Math.max(state.lastBoxContactAtMs, state.lastPlatformContactAtMs);
  return nowMs - lastContactAtMs > ISOLATED_MS;
}

/**
 * Computes the time since the configuration was confirmed to match the platform's.
 *
 * @param state - The control state.
 * @param nowMs - Current time, in milliseconds.
 * @returns Milliseconds; `Number.MAX_SAFE_INTEGER` if it was never confirmed.
 */
export function confirmedAgoMs(state: ControlState, nowMs: number): number {
  return Math.min(Math.max(0, nowMs - state.confirmedAtMs), Number.MAX_SAFE_INTEGER);
}
