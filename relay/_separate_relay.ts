/**
 * Asks the leafs that another box names, and hands over each part as soon as it is in.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { OpenCall } from "../calls/mod.js";
import { isFull, NEW_CONDITION } from "../leafs/mod.js";
import { type AttemptOutcome, mergeRecords } from "../request/mod.js";
import { encodeRelayed } from "./relay_frames.js";
import type { SeparateCall, SeparateOrder } from "./relay_order.js";
import type { Relay, RelayServerOptions } from "./relay_server.js";

/** One order for separate parts under way. */
export class SeparateRelay implements Relay {
  readonly #order: SeparateOrder;
  readonly #response: ServerResponse;
  readonly #options: RelayServerOptions;
  readonly #open = new Set<OpenCall>();
  #openCount = 0;

  constructor(order: SeparateOrder, response: ServerResponse, options: RelayServerOptions) {
    this.#order = order;
    this.#response = response;
    this.#options = options;
  }

  start(): void {
    const declined = this.#order.calls.filter((call) => !this.#ask(call));
    this.#decline(declined.map(({ service }) => service));
    this.#endIfDone();
  }

  stop(): void {
    for (const call of this.#open) {
      call.abandon();
    }
  }

  /** Asks a leaf; tells whether this box knows it as one that may be asked. */
  #ask({ service, leafId }: SeparateCall): boolean {
    const { calls, leafs, nowMs } = this.#options;
    const leaf = leafs().byId.get(leafId);
    const condition = calls.condition(leafId) ?? NEW_CONDITION;
    if (leaf === undefined || leaf.draining || condition.gone || isFull(condition, leaf)) {
      return false;
    }
    const { requestId, method, path, headers, leftMs } = this.#order;
    const call = { requestId, method, path, headers, body: undefined, repeatable: true };
    this.#openCount += 1;
    const open = calls.send({ ...call, leaf, deadlineAtMs: nowMs() + leftMs }, (outcome) => {
      this.#openCount -= 1;
      this.#open.delete(open);
      this.#take(service, outcome);
    });
    this.#open.add(open);
    return true;
  }

  #take(service: string, outcome: AttemptOutcome): void {
    if (outcome.kind === "refused" || (outcome.kind === "failed" && !outcome.sent)) {
      this.#decline([service]);
    }
    if (outcome.kind === "answered" && !this.#response.destroyed) {
      const { statusCode, signature, body } = outcome.answer;
      if (statusCode >= 200 && statusCode < 300 && signature !== "") {
        const { topRecords, leastRecord } = this.#order;
        const records = mergeRecords([body], { topRecords, leastRecord });
        const signatures = new Map([[service, signature]]);
        this.#response.write(encodeRelayed({ signatures, records, declined: [] }));
        this.#options.onParts(1);
      }
    }
    this.#endIfDone();
  }

  /** Says of services that nothing was run for them. */
  #decline(declined: ReadonlyArray<string>): void {
    if (declined.length > 0 && !this.#response.destroyed) {
      const records = Buffer.alloc(0);
      this.#response.write(encodeRelayed({ signatures: new Map(), records, declined }));
    }
  }

  #endIfDone(): void {
    if (this.#openCount === 0) {
      this.#response.end();
    }
  }
}
