/**
 * The states of a daemon's life as an xstate machine.
 *
 * A daemon starts, becomes ready once it knows a configuration, and on a planned stop goes on
 * serving until callers' cached advice has run out, then finishes what is in flight and ends. A
 * second request to stop changes nothing.
 *
 * @module
 */
import { createActor, type SnapshotFrom, setup, transition } from "xstate";

/** What moves a daemon through its life. */
export type LifecycleEvent =
  | { readonly type: "configured" }
  | { readonly type: "stopRequested" }
  | { readonly type: "adviceExpired" }
  | { readonly type: "drained" };

/** Where a daemon stands in its life. */
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

/** A daemon's place in its life. */
export type Lifecycle = SnapshotFrom<typeof MACHINE>;

/** The life of a daemon that has just started. */
export const INITIAL_LIFECYCLE: Lifecycle = createActor(MACHINE).getSnapshot();

/**
 * Moves a daemon through its life.
 *
 * @param lifecycle - Where it stands.
 * @param type - What happened.
 * @returns Where it stands after that; an event that does not fit changes nothing.
 */
export function transitionLifecycle(lifecycle: Lifecycle, type: LifecycleEvent["type"]): Lifecycle {
  return transition(MACHINE, lifecycle, { type })[0];
}

/**
 * Names where a daemon stands.
 *
 * @param lifecycle - Its lifecycle.
 * @returns The phase.
 */
export function lifecyclePhase(lifecycle: Lifecycle): LifecyclePhase {
  return lifecycle.value as LifecyclePhase;
}
