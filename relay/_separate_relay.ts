/**
 * Asks the leafs that another box names, and hands over each part as soon as it is in.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { OpenCall } from "../calls/mod.js";
import { isFull, NEW_CONDITION } from "../leafs/mod.js";
import {
  type AttemptOutcome,
  type LostPart,
  mergeRecords,
  type RelayedParts,
} from "../request/mod.js";
import { lostPartOf } from "./_lost_part_of.js";
import { type OrderedCall, orderedCall } from "./_ordered_call.js";
import type { Relay, RelayServerOptions } from "./_relay.js";
import { encodeRelayed } from "./relay_frames.js";
import { type SeparateCall, type SeparateOrder, servicesOf } from "./relay_order.js";

/** One order for separate parts under way. */
export class SeparateRelay implements Relay {
  readonly #order: SeparateOrder;
  readonly #response: ServerResponse;
  readonly #options: RelayServerOptions;
  readonly #call: OrderedCall;
  readonly #open = new Set<OpenCall>();
  #openCount = 0;

  constructor(order: SeparateOrder, response: ServerResponse, options: RelayServerOptions) {
    this.#order = order;
    this.#call = orderedCall(order);
    this.#response = response;
    this.#options = options;
  }

  start(): void {
    const declined = this.#order.calls.filter((call) => !this.#ask(call));
    this.#tellLost(
      declined.map(({ service }) => service),
      "declined",
    );
    this.#endIfDone();
  }

  stop(): void {
    for (const call of this.#open) {
      call.abandon();
    }
  }

  /** Asks a leaf; tells whether this box knows it as one that may be asked. */
  #ask({ service, leafId }: SeparateCall): boolean {
    const { access, calls, leafs, nowMs } = this.#options;
    const leaf = leafs().byId.get(leafId);
    const condition = calls.condition(leafId) ?? NEW_CONDITION;
    if (leaf === undefined || leaf.draining || condition.gone || isFull(condition, leaf)) {
      return false;
    }
    if (access.barrierTo(leaf, this.#call.routeKey) !== undefined) {
      return false;
    }
    const { leftMs } = this.#order;
    this.#openCount += 1;
    const open = calls.send({ ...this.#call, leaf, deadlineAtMs: nowMs() + leftMs }, (outcome) => {
      this.#openCount -= 1;
      this.#open.delete(open);
      this.#take(service, outcome);
    });
    this.#open.add(open);
    return true;
  }

  #take(service: string, outcome: AttemptOutcome): void {
    const why = lostPartOf(outcome);
    if (why !== undefined) {
      this.#tellLost([service], why);
    } else if (outcome.kind === "answered" && !this.#response.destroyed) {
      const { signature, body } = outcome.answer;
      const { topRecords, leastRecord } = this.#order;
      const records = mergeRecords([body], { topRecords, leastRecord });
      const signatures = new Map([[service, signature]]);
      this.#response.write(this.#encode({ signatures, records, lost: new Map() }));
      this.#options.onParts(1);
    }
    this.#endIfDone();
  }

  /** Says of services that they have no part, so that the box that asked need not wait for one. */
  #tellLost(services: ReadonlyArray<string>, why: LostPart): void {
    if (services.length > 0 && !this.#response.destroyed) {
      const records = Buffer.alloc(0);
      const lost = new Map(services.map((service) => [service, why]));
      this.#response.write(this.#encode({ signatures: new Map(), records, lost }));
    }
  }

  #encode(parts: RelayedParts): Buffer {
    return encodeRelayed(parts, servicesOf(this.#order));
  }

  #endIfDone(): void {
    if (this.#openCount === 0) {
      this.#response.end();
    }
  }
}
