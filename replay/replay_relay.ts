/**
 * Relay requests in virtual time: a box calls its local leafs on behalf of another box.
 *
 * @module
 */
import type { AttemptOutcome, FailedPart, RelayedParts } from "../request/mod.js";
import type { Schedule } from "../virtual_time/mod.js";
import type { DisabledMechanisms } from "./mechanism.js";
import type { ReplayBox } from "./replay_box.js";

/** Options of a {@linkcode ReplayRelay}. */
export interface ReplayRelayOptions {
  readonly schedule: Schedule;
  readonly box: ReplayBox;
  readonly drawWorkMs: () => number;
  /** Maximum time before the results received so far are sent, in milliseconds. */
  readonly waitLimitMs: number;
  readonly disabled: DisabledMechanisms;
}

/** A relay request. */
export interface ReplayRelayRequest {
  readonly services: ReadonlyArray<string>;
  /** Called with each batch of results. */
  readonly onParts: (parts: RelayedParts) => void;
  /** Called once when all calls have ended. */
  readonly onEnd: () => void;
}

const NO_RECORDS = Buffer.alloc(0);

const NO_FAILURES: ReadonlyMap<string, FailedPart> = new Map();

const FAILURE_BY_OUTCOME: Readonly<Record<AttemptOutcome["kind"], FailedPart | undefined>> = {
  answered: undefined,
  refused: "refused",
  failed: "failed",
};

/** Factor on the typical latency of leafs after which the first results are sent, as in the box daemon. */
const WAIT_LIMIT_FACTOR = 1.8;

/** Added to that time, in milliseconds. */
const WAIT_LIMIT_MARGIN_MS = 4;

/** A relay request in progress. */
export class ReplayRelay {
  readonly #options: ReplayRelayOptions;
  readonly #request: ReplayRelayRequest;
  #pending: Array<string> = [];
  #queuesMs: Array<number> = [];
  #openCount = 0;
  #maxTypicalLatencyMs = 0;
  #hasFlushed = false;

  /**
   * @param options - Options of the relay.
   * @param request - Services to call, and receivers of the results.
   */
  constructor(options: ReplayRelayOptions, request: ReplayRelayRequest) {
    this.#options = options;
    this.#request = request;
  }

  /** Calls a local leaf of each requested service. */
  start(): void {
    this.#openCount = this.#request.services.length;
    for (const service of this.#request.services) {
      this.#call(service);
    }
    const typicalLimitMs = this.#maxTypicalLatencyMs * WAIT_LIMIT_FACTOR + WAIT_LIMIT_MARGIN_MS;
    const waitLimitMs = Math.min(this.#options.waitLimitMs, typicalLimitMs);
    this.#options.schedule.after(waitLimitMs, () => this.#flush());
  }

  #call(service: string): void {
    const { box, drawWorkMs } = this.#options;
    const chosen = box.chooseLeaf(service, { excluded: new Set(), localOnly: true });
    if (chosen === undefined) {
      this.#sendParts([], new Map([[service, "declined"]]));
      this.#endOne();
      return;
    }
    this.#maxTypicalLatencyMs = Math.max(this.#maxTypicalLatencyMs, chosen.typicalLatencyMs);
    this.#queuesMs.push(chosen.queueMs);
    box.send({ leafId: chosen.leaf.leafId, workMs: drawWorkMs() }, (outcome) => {
      this.#handleOutcome(service, outcome);
    });
  }

  #handleOutcome(service: string, { kind }: AttemptOutcome): void {
    const failure = FAILURE_BY_OUTCOME[kind];
    if (failure === undefined) {
      this.#pending.push(service);
    } else if (!this.#options.disabled.has("told-losses")) {
      this.#sendParts([], new Map([[service, failure]]));
    }
    if (this.#hasFlushed) {
      this.#flush();
    }
    this.#endOne();
  }

  #endOne(): void {
    this.#openCount -= 1;
    if (this.#openCount === 0) {
      this.#flush();
      this.#request.onEnd();
    }
  }

  #flush(): void {
    this.#hasFlushed = true;
    const parts = this.#pending;
    this.#pending = [];
    this.#sendParts(parts, NO_FAILURES);
  }

  #sendParts(services: ReadonlyArray<string>, failed: ReadonlyMap<string, FailedPart>): void {
    if (services.length + failed.size === 0) {
      return;
    }
    const signatures = new Map(services.map((service) => [service, `x ${service}`]));
    const queue = this.#queuesMs.length === 0 ? {} : { queueMs: upperMedian(this.#queuesMs) };
    this.#queuesMs = [];
    this.#request.onParts({ signatures, records: NO_RECORDS, failed, ...queue });
  }
}

function upperMedian(values: ReadonlyArray<number>): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
