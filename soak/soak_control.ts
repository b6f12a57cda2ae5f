/**
 * Runs the control effects of daemons in a simulation: exchanges, fetches and polls of the platform.
 *
 * @module
 */
import type { ControlEffect, ControlEvent, Exchange } from "../control/mod.js";
import type { SimulationView } from "./simulation_view.js";
import type { EntryNode, PoolNode } from "./soak_network.js";

/** Time after which a request to another daemon fails, in milliseconds. */
export const REPLY_TIMEOUT_MS = 1_000;

/** Interval at which the platform is polled, in milliseconds. */
const PLATFORM_POLL_INTERVAL_MS = 200;

type Node = EntryNode | PoolNode;
type Deliver = (createEvent: (nowMs: number) => ControlEvent) => void;
type HandledEffect = Exclude<ControlEffect, { readonly kind: "setTimer" | "count" | "timing" }>;

type Handlers = {
  readonly [K in HandledEffect["kind"]]: (
    node: Node,
    effect: Extract<HandledEffect, { readonly kind: K }>,
  ) => void;
};

/** Runs the control effects of all daemons. */
export class SoakControl {
  readonly #simulation: SimulationView;
  readonly #replies = new Map<number, (exchange: Exchange) => void>();
  readonly #polling = new Set<string>();

  /**
   * @param simulation - The simulation to act on.
   */
  constructor(simulation: SimulationView) {
    this.#simulation = simulation;
  }

  /**
   * Runs an effect; timers, counters and timings are ignored.
   *
   * @param node - The daemon.
   * @param effect - The effect.
   */
  run(node: Node, effect: ControlEffect): void {
    const handler = (
      this.#handlers as Partial<Record<string, (node: Node, effect: HandledEffect) => void>>
    )[effect.kind];
    handler?.(node, effect as HandledEffect);
  }

  readonly #handlers: Handlers = {
    exchange: (node, effect) => this.#exchange(node, effect),
    replyExchange: (_node, { requestId, exchange }) => {
      this.#replies.get(requestId)?.(exchange);
      this.#replies.delete(requestId);
    },
    fetchObjects: (node, { peer: address, keys }) => {
      const { network } = this.#simulation;
      const { box } = node.self;
      network.send(box, address.address, () => {
        const peer = this.#simulation.nodeAt(address);
        const known = peer?.isAlive === true ? peer.state.control.catalog.objects : undefined;
        const objects = keys.flatMap((key) => known?.get(key) ?? []);
        network.send(address.address, box, () => {
          deliverTo(node)((nowMs) => ({ kind: "objectsFetched", nowMs, objects }));
        });
      });
    },
    watchPlatform: (node, { enabled }) => {
      if (enabled) {
        this.#poll(node);
      }
    },
    stop: (node) => {
      this.#simulation.countEvent("planned stop ended");
      node.isAlive = false;
      this.#simulation.network.closeLinks((link) => link.entry === node || link.pool === node);
    },
    log: (node, { component, message, fields }) => {
      if (component === "invariant") {
        const { memberId } = node.self;
        this.#simulation.violations.push(`${memberId}: ${message} ${JSON.stringify(fields)}`);
      }
    },
  };

  #exchange(node: Node, effect: Extract<HandledEffect, { readonly kind: "exchange" }>): void {
    const { network, schedule } = this.#simulation;
    const { box } = node.self;
    const deliver = deliverTo(node);
    let settled = false;
    schedule.after(REPLY_TIMEOUT_MS, () => {
      if (!settled) {
        settled = true;
        deliver((nowMs) => ({ kind: "exchangeFailed", nowMs, memberId: effect.memberId }));
      }
    });
    network.send(box, effect.peer.address, () => {
      const requestId = this.#simulation.nextRequestNumber();
      this.#replies.set(requestId, (exchange) => {
        network.send(effect.peer.address, box, () => {
          settled = true;
          deliver((nowMs) => ({ kind: "exchangeAnswered", nowMs, peer: effect.peer, exchange }));
        });
      });
      const peer = this.#simulation.nodeAt(effect.peer);
      if (peer !== undefined) {
        deliverTo(peer)((nowMs) => {
          return { kind: "exchangeArrived", nowMs, requestId, exchange: effect.exchange };
        });
      }
    });
  }

  #poll(node: Node): void {
    const { network, platform, schedule } = this.#simulation;
    const { incarnation, box } = node.self;
    if (this.#polling.has(incarnation)) {
      return;
    }
    this.#polling.add(incarnation);
    const deliver = deliverTo(node);
    const poll = (): void => {
      if (!node.isAlive || !node.state.control.watching) {
        this.#polling.delete(incarnation);
        return;
      }
      if (platform.faults.down || network.isCut(box, "platform")) {
        deliver((nowMs) => ({ kind: "platformFailed", nowMs, message: "down" }));
      } else {
        const objects = platform.objects();
        const boxList = platform.boxList();
        deliver((nowMs) => ({ kind: "platformAnswered", nowMs, objects, boxList, complete: true }));
      }
      schedule.after(PLATFORM_POLL_INTERVAL_MS + platform.faults.slowMs, poll);
    };
    schedule.after(5 + platform.faults.slowMs, poll);
  }
}

/** Control events are common to entries and pools, so that `deliver` of either accepts them. */
function deliverTo(node: Node): Deliver {
  return node.deliver.bind(node) as Deliver;
}
