/**
 * Runs the effects of pools in a simulation: calls to leafs, replies to entries and probes.
 *
 * @module
 */
import type { PoolEffect } from "../pool/mod.js";
import type { FakeLeaf } from "./fake_leaf.js";
import type { SimulationView } from "./simulation_view.js";
import type { SoakControl } from "./soak_control.js";
import type { PoolNode } from "./soak_network.js";
import { timerKey } from "./soak_node.js";

type OwnKind = "setTimer" | "dispatch" | "cancelDispatch" | "reply" | "probeLeafs";

type Handlers = {
  readonly [K in OwnKind]: (
    node: PoolNode,
    effect: Extract<PoolEffect, { readonly kind: K }>,
  ) => void;
};

type LeafDispatch = Extract<PoolEffect, { readonly kind: "dispatch" }>["dispatch"];

/** Response of a leaf. */
type LeafAnswer = Parameters<Parameters<FakeLeaf["handleCall"]>[2]>[0];

/** Runs the effects of all pools. */
export class SoakPools {
  readonly #simulation: SimulationView;
  readonly #control: SoakControl;

  /**
   * @param simulation - The simulation to act on.
   * @param control - Runs the effects that are common to all daemons.
   */
  constructor(simulation: SimulationView, control: SoakControl) {
    this.#simulation = simulation;
    this.#control = control;
  }

  /**
   * Runs an effect.
   *
   * @param node - The pool.
   * @param effect - The effect.
   */
  run(node: PoolNode, effect: PoolEffect): void {
    if (Object.hasOwn(this.#handlers, effect.kind)) {
      const handler = this.#handlers[effect.kind as OwnKind];
      (handler as (node: PoolNode, effect: PoolEffect) => void)(node, effect);
    } else {
      this.#control.run(node, effect as Parameters<SoakControl["run"]>[1]);
    }
  }

  readonly #handlers: Handlers = {
    setTimer: (node, { timer, delayMs }) => {
      node.setTimer(timerKey(timer), delayMs, (nowMs) => ({ ...timer, nowMs }));
    },
    dispatch: (node, { dispatch }) => this.#dispatch(node, dispatch),
    cancelDispatch: (node, { flightId, leaf }) => {
      const callId = `${node.self.incarnation}.${flightId}`;
      const fakeLeaf = this.#simulation.leafs.get(leaf.leafId);
      this.#simulation.schedule.after(1, () => fakeLeaf?.cancel(callId));
    },
    reply: (node, { entryId, results, reports }) => {
      const { network } = this.#simulation;
      const poolId = node.self.memberId;
      const link = network.findLink(entryId, poolId);
      if (link?.pool !== node) {
        return;
      }
      network.send(node.self.box, link.entry.self.box, () => {
        if (link.entry.self.incarnation === entryId) {
          link.entry.deliver((nowMs) => {
            return { kind: "resultsArrived", nowMs, poolId, results, reports };
          });
        }
      });
    },
    probeLeafs: (node, { leafs }) => {
      for (const { service, leafId } of leafs) {
        this.#simulation.schedule.after(1, () => {
          const leaf = this.#simulation.leafs.get(leafId);
          const signal = leaf === undefined || leaf.isDown ? undefined : leaf.state;
          const leafKey = `${service} ${leafId}`;
          node.deliver((nowMs) => ({ kind: "leafProbed", nowMs, leafKey, signal }));
        });
      }
    },
  };

  #dispatch(node: PoolNode, dispatch: LeafDispatch): void {
    const { leafs, network, schedule } = this.#simulation;
    const { flightId, leaf: spec } = dispatch;
    const leaf = leafs.get(spec.leafId);
    const finish = (answer: LeafAnswer): void => {
      node.deliver((nowMs) => ({ kind: "leafAnswered", nowMs, flightId, stalledMs: 0, ...answer }));
    };
    const fail = (notSent: boolean): void =>
      finish({ outcome: { kind: "failed", reason: "leaf failed", notSent }, signal: undefined });
    if (leaf === undefined || leaf.isDown) {
      schedule.after(1, () => fail(true));
      return;
    }
    const leavingForMs = schedule.nowMs - leaf.leavingSinceMs;
    if (leavingForMs > 0) {
      this.#simulation.callsWhileLeaving.push({ leafId: leaf.leafId, afterMs: leavingForMs });
    }
    const failureRate = network.noise.lost;
    if (schedule.chance(failureRate)) {
      this.#simulation.countEvent("call cut before its write");
      schedule.after(1, () => fail(true));
      return;
    }
    const callId = `${node.self.incarnation}.${flightId}`;
    const dropAnswer = schedule.chance(failureRate);
    if (dropAnswer) {
      this.#simulation.countEvent("answer of a leaf lost");
    }
    schedule.after(1, () =>
      leaf.handleCall(callId, dispatch, (answer) => {
        schedule.after(1, () => (dropAnswer ? fail(false) : finish(answer)));
      }),
    );
  }
}
