/**
 * The control slice: one reducer over membership, configuration and lifecycle events.
 *
 * A few daemons of each data centre, chosen by rendezvous hashing and without a lease, watch the
 * platform; all others hear from them. Of an object newly known a few daemons picked at random are told
 * at once, and each regular exchange compares catalogs by a hash, so that what a rumour missed is mended
 * within a few rounds.
 *
 * @module
 */
import { andThen, countOne, logInfo, logWarn, step } from "../core/mod.js";
import { lifecyclePhase } from "../lifecycle/mod.js";
import { expireMembers } from "../membership/mod.js";
import type { Member } from "../model/mod.js";
import type { ControlEffect, ControlEvent } from "./control_messages.js";
import type { ControlState, ControlStep } from "./control_state.js";
import {
  exchangeRegularly,
  onExchangeAnswered,
  onExchangeArrived,
  onExchangeFailed,
} from "./exchanges.js";
import { boxListObject, takeIn } from "./intake.js";
import { passOn } from "./make_exchange.js";
import { becomeReady, chooseWatchers, enterPhase } from "./phases.js";

/** Time between two regular exchanges, in milliseconds. */
export const EXCHANGE_PERIOD_MS = 1_000;

/**
 * Time in which all entries hear that one is leaving, in milliseconds: rumours reach nearly all at
 * once, regular exchanges those they missed (`control_test` has 120 runs of 3 to 40 boxes). Callers
 * may keep advice given until then.
 */
export const ADVICE_GRACE_MS = 2_500;

type Handlers = {
  readonly [K in ControlEvent["kind"]]: (
    state: ControlState,
    event: Extract<ControlEvent, { readonly kind: K }>,
  ) => ControlStep;
};

const HANDLERS: Handlers = {
  started: onStarted,
  controlTick: onTick,
  adviceExpiry: onAdviceExpiry,
  platformAnswered: onPlatformAnswered,
  platformFailed: (state, { message }) =>
    step<ControlState, ControlEffect>(
      state,
      logWarn("platform", "did not answer", { error: message }),
      countOne("platform.failed"),
    ),
  exchangeArrived: onExchangeArrived,
  exchangeAnswered: onExchangeAnswered,
  exchangeFailed: onExchangeFailed,
  objectsFetched: (state, { objects, nowMs }) => takeIn(state, objects, { nowMs, source: "peer" }),
  objectAccepted: (state, { object, nowMs }) =>
    takeIn({ ...state, heardPlatformAtMs: nowMs }, [object], { nowMs, source: "submission" }),
  stopRequested: onStopRequested,
};

/**
 * Runs one event through the control slice.
 *
 * @param state - State so far.
 * @param event - What happened.
 * @returns State after that and what is to be done.
 */
export function stepControl(state: ControlState, event: ControlEvent): ControlStep {
  const handler = HANDLERS[event.kind] as (state: ControlState, event: ControlEvent) => ControlStep;
  return handler(state, event);
}

/**
 * Tells whether an event is the control slice's.
 *
 * @param event - An event of a daemon.
 * @returns Whether `stepControl` takes it.
 */
export function isControlEvent(event: { readonly kind: string }): event is ControlEvent {
  return Object.hasOwn(HANDLERS, event.kind);
}

function onStarted(state: ControlState, { nowMs }: { readonly nowMs: number }): ControlStep {
  const started = { ...state, startedAtMs: nowMs };
  const tick = { kind: "setTimer", timer: { kind: "controlTick" }, delayMs: 50 } as const;
  const watch = { kind: "watchPlatform", enabled: true } as const;
  return step<ControlState, ControlEffect>({ ...started, watching: true }, tick, watch);
}

function onTick(state: ControlState, { nowMs }: { readonly nowMs: number }): ControlStep {
  const membership = expireMembers(state.membership, { nowMs });
  const ticked = { ...state, membership, ticks: state.ticks + 1 };
  const tick = {
    kind: "setTimer",
    timer: { kind: "controlTick" },
    delayMs: EXCHANGE_PERIOD_MS,
  } as const;
  return andThen(
    andThen(step<ControlState, ControlEffect>(ticked, tick), (next) => chooseWatchers(next, nowMs)),
    (next) => andThen(becomeReady(next, nowMs), (ready) => exchangeRegularly(ready, nowMs)),
  );
}

function onPlatformAnswered(
  state: ControlState,
  {
    nowMs,
    objects,
    boxList,
    complete,
  }: Extract<ControlEvent, { readonly kind: "platformAnswered" }>,
): ControlStep {
  const heard = {
    ...state,
    platformHeard: state.platformHeard || complete,
    heardPlatformAtMs: nowMs,
    confirmedAtMs: complete ? nowMs : state.confirmedAtMs,
  };
  const listed = boxList === undefined ? [] : [boxListObject(boxList)];
  return andThen(takeIn(heard, [...objects, ...listed], { nowMs, source: "platform" }), (next) =>
    becomeReady(next, nowMs),
  );
}

function onStopRequested(state: ControlState, { nowMs }: { readonly nowMs: number }): ControlStep {
  const phase = lifecyclePhase(state.lifecycle);
  if (phase !== "starting" && phase !== "ready") {
    return step(state, logInfo("lifecycle", "is stopping already", { phase }));
  }
  const { self } = state.membership;
  const leaving: Member = { ...self, state: "leaving", version: self.version + 1 };
  const membership = { ...state.membership, self: leaving };
  const expiry = {
    kind: "setTimer",
    timer: { kind: "adviceExpiry" },
    delayMs: state.adviceKeepMs + ADVICE_GRACE_MS,
  } as const;
  return andThen(
    andThen(enterPhase({ ...state, membership }, "stopRequested"), (next) =>
      step<ControlState, ControlEffect>(next, expiry),
    ),
    (next) => passOn(next, [], nowMs),
  );
}

function onAdviceExpiry(state: ControlState): ControlStep {
  return enterPhase(state, "adviceExpired");
}
