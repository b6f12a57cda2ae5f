/**
 * One step of a reducer: the state after an event and the effects to run.
 *
 * @module
 */

/** State after an event, and the effects for the shell to run. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: ReadonlyArray<Effect>;
}

/** An event wrapped for an xstate actor. */
export interface CoreEvent<Event> {
  readonly type: "core";
  readonly event: Event;
}

/**
 * Creates a step.
 *
 * @param state - State after the event.
 * @param effects - Effects to run, in order.
 * @returns The step.
 */
export function step<State, Effect>(
  state: State,
  ...effects: ReadonlyArray<Effect>
): Step<State, Effect> {
  return { state, effects };
}

/**
 * Chains two steps and concatenates their effects.
 *
 * @param first - The first step.
 * @param next - Computes the second step from the state after the first.
 * @returns The combined step.
 */
export function andThen<State, Effect>(
  first: Step<State, Effect>,
  next: (state: State) => Step<State, Effect>,
): Step<State, Effect> {
  const second = next(first.state);
  if (first.effects.length === 0) {
    return second;
  }
  if (second.effects.length === 0) {
    return { state: second.state, effects: first.effects };
  }
  return { state: second.state, effects: [...first.effects, ...second.effects] };
}

/**
 * Runs a step for each item in order and concatenates the effects.
 *
 * @param start - The initial step.
 * @param items - Items to process.
 * @param next - Computes the step for one item.
 * @returns The combined step.
 */
export function forEachStep<State, Effect, Item>(
  start: Step<State, Effect>,
  items: Iterable<Item>,
  next: (state: State, item: Item) => Step<State, Effect>,
): Step<State, Effect> {
  let state = start.state;
  const effects = [...start.effects];
  for (const item of items) {
    const made = next(state, item);
    state = made.state;
    effects.push(...made.effects);
  }
  return { state, effects };
}
