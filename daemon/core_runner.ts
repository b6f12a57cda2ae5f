/**
 * Runs a core as an xstate actor, which handles one event at a time and runs its effects.
 *
 * @module
 */
import { type AnyActorLogic, createActor } from "xstate";
import type { Step } from "../core/mod.js";

/** Effect handlers of a core, by kind of effect. */
export type EffectHandlers<Effect extends { readonly kind: string }> = {
  readonly [K in Effect["kind"]]: (effect: Extract<Effect, { readonly kind: K }>) => void;
};

/** A running core. */
export interface CoreRunner<State, Event> {
  /** Sends an event to the core. Its effects are run before the next event is handled. */
  send(event: Event): void;
  /** Returns the state after the last event. */
  state(): State;
}

/**
 * Starts a core.
 *
 * @param logic - The xstate logic of the core, whose context is the result of the last step.
 * @param handlers - Effect handlers.
 * @returns The running core.
 */
export function runCore<State, Event, Effect extends { readonly kind: string }>(
  logic: AnyActorLogic,
  handlers: EffectHandlers<Effect>,
): CoreRunner<State, Event> {
  const actor = createActor(logic);
  const handlersByKind = handlers as unknown as Readonly<Record<string, (effect: Effect) => void>>;
  let lastStep: unknown;
  actor.subscribe((snapshot: { readonly context: Step<State, Effect> }) => {
    if (snapshot.context === lastStep) {
      return;
    }
    lastStep = snapshot.context;
    for (const effect of snapshot.context.effects) {
      handlersByKind[effect.kind]?.(effect);
    }
  });
  actor.start();
  return {
    send: (event) => actor.send({ type: "core", event } as never),
    state: () => (actor.getSnapshot() as { readonly context: Step<State, Effect> }).context.state,
  };
}

/**
 * Returns the time of the daemon's monotonic clock.
 *
 * @returns Time since the process started, in milliseconds.
 */
export function nowMs(): number {
  return performance.now();
}
