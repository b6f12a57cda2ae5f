/**
 * The daemon's phases, and whether it watches the platform.
 *
 * @module
 */
import { andThen, logInfo, step } from "../core/mod.js";
import { rendezvousRank } from "../hashing/mod.js";
import { type LifecycleEvent, lifecyclePhase, transitionLifecycle } from "../lifecycle/mod.js";
import type { Member } from "../model/mod.js";
import type { ControlEffect } from "./control_messages.js";
import type { ControlState, ControlStep } from "./control_state.js";
import { gossip } from "./gossip.js";

/** Number of daemons per data centre that watch the platform. */
export const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Time a daemon waits for both the platform and a peer before either one suffices, in milliseconds.
 */
const START_WAIT_LIMIT_MS = 1_000;

/**
 * Starts or stops watching the platform, as decided by rendezvous hashing.
 *
 * @param state - The control state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function chooseWatchers(state: ControlState, nowMs: number): ControlStep {
  const { self, records } = state.membership;
  const local = [self, ...[...records.values()].map((record) => record.member)].filter((member) => {
    return member.state === "alive" && member.dataCentre === self.dataCentre;
  });
  const ranked = rendezvousRank(
    "watch the platform",
    local.map((member) => member.memberId),
  );
  const isChosen = ranked.slice(0, WATCHERS_PER_DATA_CENTRE).includes(self.memberId);
  // A starting daemon watches the platform until it has the platform's data.
  const watching =
    isChosen || (lifecyclePhase(state.lifecycle) === "starting" && !state.hasPlatformData);
  if (watching === state.watching) {
    return step(state);
  }
  const message = watching ? "watches the platform" : "stops watching the platform";
  return step<ControlState, ControlEffect>(
    { ...state, watching },
    { kind: "watchPlatform", enabled: watching },
    logInfo("control", message, { atMs: nowMs }),
  );
}

/**
 * Makes a starting daemon ready once it has a configuration.
 *
 * @param state - The control state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The step.
 */
export function becomeReady(state: ControlState, nowMs: number): ControlStep {
  if (lifecyclePhase(state.lifecycle) !== "starting") {
    return step(state);
  }
  const hasWaited = nowMs - state.startedAtMs >= START_WAIT_LIMIT_MS;
  const hasEither = state.hasPlatformData || state.hasPeerContact;
  const hasBoth = state.hasPlatformData && state.hasPeerContact;
  if (!hasBoth && !(hasEither && hasWaited)) {
    return step(state);
  }
  const { self } = state.membership;
  const alive: Member = { ...self, state: "alive", version: self.version + 1 };
  const ready = { ...state, membership: { ...state.membership, self: alive } };
  // Other daemons are notified immediately, so that this one receives traffic.
  return andThen(enterPhase(ready, "configured"), (next) => gossip(next, [], nowMs));
}

/**
 * Moves the daemon to its next lifecycle phase and logs it.
 *
 * @param state - The control state.
 * @param type - Type of the lifecycle event.
 * @returns The step.
 */
export function enterPhase(state: ControlState, type: LifecycleEvent["type"]): ControlStep {
  const lifecycle = transitionLifecycle(state.lifecycle, type);
  const phase = lifecyclePhase(lifecycle);
  return step<ControlState, ControlEffect>(
    { ...state, lifecycle },
    logInfo("lifecycle", `is ${phase}`, { phase }),
  );
}
