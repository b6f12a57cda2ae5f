/**
 * The lifecycle of a daemon as an xstate machine.
 *
 * A daemon starts and becomes ready once it has a configuration. On a planned stop it keeps serving
 * until callers' cached address lists have expired, then completes open requests and stops. A
 * second stop request has no effect.
 *
 * @module
 */
import { createActor, type SnapshotFrom, setup, transition } from "xstate";

/** Event that may change the phase of a daemon. */
export type LifecycleEvent =
  | { readonly type: "configured" }
  | { readonly type: "stopRequested" }
  | { readonly type: "adviceExpired" }
  | { readonly type: "drained" };

/** Phase of a daemon. */
export type LifecyclePhase = "starting" | "ready" | "leaving" | "finishing" | "stopped";

const MACHINE = setup({ types: { events: {} as LifecycleEvent } }).createMachine({
  id: "daemon",
  initial: "starting",
  states: {
    starting: { on: { configured: "ready", stopRequested: "leaving" } },
    ready: { on: { stopRequested: "leaving" } },
    leaving: { on: { adviceExpired: "finishing" } },
    finishing: { on: { drained: "stopped" } },
    stopped: { type: "final" },
  },
});

/** State of a daemon's lifecycle. */
export type Lifecycle = SnapshotFrom<typeof MACHINE>;

/** State of a daemon that has just started. */
export const INITIAL_LIFECYCLE: Lifecycle = createActor(MACHINE).getSnapshot();

/**
 * Applies an event to a lifecycle.
 *
 * @param lifecycle - Current state.
 * @param type - Type of the event.
 * @returns The next state; unchanged if the event does not apply to the current phase.
 */
export function transitionLifecycle(lifecycle: Lifecycle, type: LifecycleEvent["type"]): Lifecycle {
  return transition(MACHINE, lifecycle, { type })[0];
}

/**
 * Returns the phase of a daemon.
 *
 * @param lifecycle - State of its lifecycle.
 * @returns The phase.
 */
export function lifecyclePhase(lifecycle: Lifecycle): LifecyclePhase {
  return lifecycle.value as LifecyclePhase;
}
