/**
 * The control slice: one reducer over membership, configuration and lifecycle events.
 *
 * In each data centre a few daemons, chosen by rendezvous hashing and without a lease, watch the
 * platform. Each daemon gossips the objects that are new to it to a few randomly chosen daemons.
 * Regular exchanges compare catalogs by hash, so that daemons which missed an update receive it
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
import { gossip } from "./gossip.js";
import { applyAndGossip, boxListObject } from "./object_updates.js";
import { becomeReady, chooseWatchers, enterPhase } from "./phases.js";

/** Interval between regular exchanges, in milliseconds. */
export const EXCHANGE_PERIOD_MS = 1_000;

/**
 * Time within which all entries learn that an entry is leaving, in milliseconds. Address lists
 * handed out until then may still contain it.
 */
export const ADDRESS_LIST_GRACE_MS = 2_500;

type Handlers = {
  readonly [K in ControlEvent["kind"]]: (
    state: ControlState,
    event: Extract<ControlEvent, { readonly kind: K }>,
  ) => ControlStep;
};

const HANDLERS: Handlers = {
  started: onStarted,
  controlTick: onTick,
  addressListExpiry: onAddressListExpiry,
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
  objectsFetched: (state, { objects, nowMs }) =>
    applyAndGossip(state, objects, { nowMs, source: "peer" }),
  objectAccepted: (state, { object, nowMs }) =>
    applyAndGossip({ ...state, lastPlatformContactAtMs: nowMs }, [object], {
      nowMs,
      source: "submission",
    }),
  stopRequested: onStopRequested,
};

/**
 * Applies one event to the control state.
 *
 * @param state - The current state.
 * @param event - The event.
 * @returns The next state, and the effects to run.
 */
export function stepControl(state: ControlState, event: ControlEvent): ControlStep {
  const handler = HANDLERS[event.kind] as (state: ControlState, event: ControlEvent) => ControlStep;
  return handler(state, event);
}

/**
 * Returns whether an event belongs to the control slice.
 *
 * @param event - An event of a daemon.
 * @returns Whether `stepControl` handles it.
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
  const updated = {
    ...state,
    hasPlatformData: state.hasPlatformData || complete,
    lastPlatformContactAtMs: nowMs,
    confirmedAtMs: complete ? nowMs : state.confirmedAtMs,
  };
  const listed = boxList === undefined ? [] : [boxListObject(boxList)];
  return andThen(
    applyAndGossip(updated, [...objects, ...listed], { nowMs, source: "platform" }),
    (next) => becomeReady(next, nowMs),
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
    timer: { kind: "addressListExpiry" },
    delayMs: state.adviceKeepMs + ADDRESS_LIST_GRACE_MS,
  } as const;
  return andThen(
    andThen(enterPhase({ ...state, membership }, "stopRequested"), (next) =>
      step<ControlState, ControlEffect>(next, expiry),
    ),
    (next) => gossip(next, [], nowMs),
  );
}

function onAddressListExpiry(state: ControlState): ControlStep {
  return enterPhase(state, "adviceExpired");
}
