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
import { passOn } from "./make_exchange.js";

/** Daemons of each data centre that watch the platform. */
export const WATCHERS_PER_DATA_CENTRE = 2;

/** Time a daemon waits for both the platform and a peer before it is content with one. */
const START_WAIT_MS = 1_000;

/**
 * Begins or ends the watch of the platform, as rendezvous hashing has it.
 *
 * @param state - The control state.
 * @param nowMs - The present moment.
 * @returns The step.
 */
export function chooseWatchers(state: ControlState, nowMs: number): ControlStep {
  const { self, records } = state.membership;
  const near = [self, ...[...records.values()].map((record) => record.member)].filter((member) => {
    return member.state === "alive" && member.dataCentre === self.dataCentre;
  });
  const ranked = rendezvousRank(
    "watch the platform",
    near.map((member) => member.memberId),
  );
  const chosen = ranked.slice(0, WATCHERS_PER_DATA_CENTRE).includes(self.memberId);
  // A daemon that is still starting asks the platform itself.
  const watching =
    chosen || (lifecyclePhase(state.lifecycle) === "starting" && !state.platformHeard);
  if (watching === state.watching) {
    return step(state);
  }
  const message = watching ? "watches the platform" : "leaves the watch to others";
  return step<ControlState, ControlEffect>(
    { ...state, watching },
    { kind: "watchPlatform", enabled: watching },
    logInfo("control", message, { atMs: nowMs }),
  );
}

/**
 * Makes a starting daemon ready once it knows a configuration.
 *
 * @param state - The control state.
 * @param nowMs - The present moment.
 * @returns The step.
 */
export function becomeReady(state: ControlState, nowMs: number): ControlStep {
  if (lifecyclePhase(state.lifecycle) !== "starting") {
    return step(state);
  }
  const waited = nowMs - state.startedAtMs >= START_WAIT_MS;
  const heardOne = state.platformHeard || state.peerHeard;
  const heardBoth = state.platformHeard && state.peerHeard;
  if (!heardBoth && !(heardOne && waited)) {
    return step(state);
  }
  const { self } = state.membership;
  const alive: Member = { ...self, state: "alive", version: self.version + 1 };
  const ready = { ...state, membership: { ...state.membership, self: alive } };
  // Others are told at once, so that callers and calls come.
  return andThen(enterPhase(ready, "configured"), (next) => passOn(next, [], nowMs));
}

/**
 * Moves the daemon through its life and says so.
 *
 * @param state - The control state.
 * @param type - What happened.
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
