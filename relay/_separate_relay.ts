/**
 * Handles relay requests for separate parts: calls the leafs that another box names, and sends each
 * part as it arrives.
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
import type { Relay, RelayOptions } from "./_relay.js";
import { encodeRelayFrame } from "./relay_frames.js";
import { type SeparateCall, type SeparateRelayRequest, servicesOf } from "./relay_request.js";

/** A relay request for separate parts in progress. */
export class SeparateRelay implements Relay {
  readonly #request: SeparateRelayRequest;
  readonly #response: ServerResponse;
  readonly #options: RelayOptions;
  readonly #call: LeafCallTemplate;
  readonly #open = new Set<OpenCall>();
  #openCount = 0;

  constructor(request: SeparateRelayRequest, response: ServerResponse, options: RelayOptions) {
    this.#request = request;
    this.#call = leafCallTemplate(request);
    this.#response = response;
    this.#options = options;
  }

  start(): void {
    const declined = this.#request.calls.filter((call) => !this.#callLeaf(call));
    this.#reportFailed(
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

  /** Calls a leaf; returns whether the leaf is known and may be called. */
  #callLeaf({ service, leafId }: SeparateCall): boolean {
    const { access, calls, leafs, nowMs } = this.#options;
    const leaf = leafs().byId.get(leafId);
    const health = calls.health(leafId) ?? INITIAL_LEAF_HEALTH;
    if (leaf === undefined || leaf.draining || health.terminated || isFull(health, leaf)) {
      return false;
    }
    if (access.blockReasonForLeaf(leaf, this.#call.acceptedRoute) !== undefined) {
      return false;
    }
    const { leftMs } = this.#request;
    this.#openCount += 1;
    // Only hedges, retries and replacements request separate parts.
    const call = { ...this.#call, leaf, deadlineAtMs: nowMs() + leftMs, isFirst: false };
    const open = calls.send(call, (outcome) => {
      this.#openCount -= 1;
      this.#open.delete(open);
      this.#onOutcome(service, outcome);
    });
    this.#open.add(open);
    return true;
  }

  #onOutcome(service: string, outcome: AttemptOutcome): void {
    const reason = failedPartOf(outcome);
    if (reason !== undefined) {
      this.#reportFailed([service], reason);
    } else if (outcome.kind === "answered" && !this.#response.destroyed) {
      const { signature, body } = outcome.answer;
      const { topRecords, minRecord } = this.#request;
      const records = mergeRecords([body], { topRecords, minRecord });
      const signatures = new Map([[service, signature]]);
      this.#response.write(this.#encode({ signatures, records, failed: new Map() }));
      this.#options.onParts(1);
    }
    this.#endIfDone();
  }

  /** Reports services without a part, so that the requesting box need not wait for them. */
  #reportFailed(services: ReadonlyArray<string>, reason: FailedPart): void {
    if (services.length > 0 && !this.#response.destroyed) {
      const records = Buffer.alloc(0);
      const failed = new Map(services.map((service) => [service, reason]));
      this.#response.write(this.#encode({ signatures: new Map(), records, failed }));
    }
  }

  #encode(parts: RelayedParts): Buffer {
    return encodeRelayFrame(parts, servicesOf(this.#request));
  }

  #endIfDone(): void {
    if (this.#openCount === 0) {
      this.#response.end();
    }
  }
}
