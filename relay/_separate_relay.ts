/**
 * Asks the leafs that another box names, and hands over each part as soon as it is in.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { OpenCall } from "../calls/mod.js";
import { INITIAL_LEAF_HEALTH, isFull } from "../leafs/mod.js";
import {
  type AttemptOutcome,
  type FailedPart,
  mergeRecords,
  type RelayedParts,
} from "../request/mod.js";
import { failedPartOf } from "./_failed_part_of.js";
import { type LeafCallTemplate, leafCallTemplate } from "./_leaf_call_template.js";
import type { Relay, RelayServerOptions } from "./_relay.js";
import { encodeRelayFrame } from "./relay_frames.js";
import { type SeparateCall, type SeparateRelayRequest, servicesOf } from "./relay_request.js";

/** One order for separate parts under way. */
export class SeparateRelay implements Relay {
  readonly #order: SeparateRelayRequest;
  readonly #response: ServerResponse;
  readonly #options: RelayServerOptions;
  readonly #call: LeafCallTemplate;
  readonly #open = new Set<OpenCall>();
  #openCount = 0;

  constructor(order: SeparateRelayRequest, response: ServerResponse, options: RelayServerOptions) {
    this.#order = order;
    this.#call = leafCallTemplate(order);
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
    const condition = calls.health(leafId) ?? INITIAL_LEAF_HEALTH;
    if (leaf === undefined || leaf.draining || condition.terminated || isFull(condition, leaf)) {
      return false;
    }
    if (access.blockReasonForLeaf(leaf, this.#call.routeKey) !== undefined) {
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
    const why = failedPartOf(outcome);
    if (why !== undefined) {
      this.#tellLost([service], why);
    } else if (outcome.kind === "answered" && !this.#response.destroyed) {
      const { signature, body } = outcome.answer;
      const { topRecords, minRecord: leastRecord } = this.#order;
      const records = mergeRecords([body], { topRecords, minRecord: leastRecord });
      const signatures = new Map([[service, signature]]);
      this.#response.write(this.#encode({ signatures, records, failed: new Map() }));
      this.#options.onParts(1);
    }
    this.#endIfDone();
  }

  /** Says of services that they have no part, so that the box that asked need not wait for one. */
  #tellLost(services: ReadonlyArray<string>, why: FailedPart): void {
    if (services.length > 0 && !this.#response.destroyed) {
      const records = Buffer.alloc(0);
      const lost = new Map(services.map((service) => [service, why]));
      this.#response.write(this.#encode({ signatures: new Map(), records, failed: lost }));
    }
  }

  #encode(parts: RelayedParts): Buffer {
    return encodeRelayFrame(parts, servicesOf(this.#order));
  }

  #endIfDone(): void {
    if (this.#openCount === 0) {
      this.#response.end();
    }
  }
}
