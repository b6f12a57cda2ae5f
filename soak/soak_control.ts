/**
 * Runs the control effects of daemons in a soak: exchanges, fetches, looks at the platform.
 *
 * @module
 */
import type { ControlEffect, ControlEvent, Exchange } from "../control/mod.js";
import type { EntryNode, PoolNode } from "./soak_network.js";
import type { SoakView } from "./soak_view.js";

/** Time another daemon has for an answer, in milliseconds. */
export const ANSWER_MS = 1_000;

/** Time between two looks at the platform, in milliseconds. */
const LOOK_EVERY_MS = 200;

type Node = EntryNode | PoolNode;
type Deliver = (make: (nowMs: number) => ControlEvent) => void;
type Ran = Exclude<ControlEffect, { readonly kind: "setTimer" | "count" | "timing" }>;

type Handlers = {
  readonly [K in Ran["kind"]]: (node: Node, effect: Extract<Ran, { readonly kind: K }>) => void;
};

/** Control effects of all daemons. */
export class SoakControl {
  readonly #world: SoakView;
  readonly #replies = new Map<number, (exchange: Exchange) => void>();
  readonly #watching = new Set<string>();

  /**
   * @param world - The world that they act on.
   */
  constructor(world: SoakView) {
    this.#world = world;
  }

  /**
   * Runs an effect; those that only count are passed over.
   *
   * @param node - The daemon.
   * @param effect - The effect.
   */
  run(node: Node, effect: ControlEffect): void {
    const handler = (this.#handlers as Partial<Record<string, (node: Node, effect: Ran) => void>>)[
      effect.kind
    ];
    handler?.(node, effect as Ran);
  }

  readonly #handlers: Handlers = {
    exchange: (node, effect) => this.#exchange(node, effect),
    replyExchange: (_node, { requestId, exchange }) => {
      this.#replies.get(requestId)?.(exchange);
      this.#replies.delete(requestId);
    },
    fetchObjects: (node, { peer: address, keys }) => {
      const { network } = this.#world;
      const { box } = node.self;
      network.send(box, address.address, () => {
        const peer = this.#world.nodeAt(address);
        const held = peer?.isAlive === true ? peer.state.control.catalog.objects : undefined;
        const objects = keys.flatMap((key) => held?.get(key) ?? []);
        network.send(address.address, box, () => {
          deliverTo(node)((nowMs) => ({ kind: "objectsFetched", nowMs, objects }));
        });
      });
    },
    watchPlatform: (node, { enabled }) => {
      if (enabled) {
        this.#watch(node);
      }
    },
    stop: (node) => {
      this.#world.note("planned stop ended");
      node.isAlive = false;
      this.#world.network.breakLinks((link) => link.entry === node || link.pool === node);
    },
    log: (node, { component: part, message, fields }) => {
      if (part === "invariant") {
        const { memberId } = node.self;
        this.#world.broken.push(`${memberId}: ${message} ${JSON.stringify(fields)}`);
      }
    },
  };

  #exchange(node: Node, effect: Extract<Ran, { readonly kind: "exchange" }>): void {
    const { network, schedule } = this.#world;
    const { box } = node.self;
    const deliver = deliverTo(node);
    let settled = false;
    schedule.after(ANSWER_MS, () => {
      if (!settled) {
        settled = true;
        deliver((nowMs) => ({ kind: "exchangeFailed", nowMs, memberId: effect.memberId }));
      }
    });
    network.send(box, effect.peer.address, () => {
      const requestId = this.#world.nextRequest();
      this.#replies.set(requestId, (exchange) => {
        network.send(effect.peer.address, box, () => {
          settled = true;
          deliver((nowMs) => ({ kind: "exchangeAnswered", nowMs, peer: effect.peer, exchange }));
        });
      });
      const peer = this.#world.nodeAt(effect.peer);
      if (peer !== undefined) {
        deliverTo(peer)((nowMs) => {
          return { kind: "exchangeArrived", nowMs, requestId, exchange: effect.exchange };
        });
      }
    });
  }

  #watch(node: Node): void {
    const { network, platform, schedule } = this.#world;
    const { incarnation, box } = node.self;
    if (this.#watching.has(incarnation)) {
      return;
    }
    this.#watching.add(incarnation);
    const deliver = deliverTo(node);
    const look = (): void => {
      if (!node.isAlive || !node.state.control.watching) {
        this.#watching.delete(incarnation);
        return;
      }
      if (platform.faults.down || network.isCut(box, "platform")) {
        deliver((nowMs) => ({ kind: "platformFailed", nowMs, message: "down" }));
      } else {
        const objects = platform.objects();
        const boxList = platform.boxList();
        deliver((nowMs) => ({ kind: "platformAnswered", nowMs, objects, boxList, complete: true }));
      }
      schedule.after(LOOK_EVERY_MS + platform.faults.slowMs, look);
    };
    schedule.after(5 + platform.faults.slowMs, look);
  }
}

/** Both kinds of daemons take control events. */
function deliverTo(node: Node): Deliver {
  return node.deliver.bind(node) as Deliver;
}
