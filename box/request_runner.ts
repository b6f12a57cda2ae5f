/**
 * Runs the decisions of requests: calls, timers, replies.
 *
 * @module
 */
import type { Step } from "../core/mod.js";
import type { Distance } from "../leafs/mod.js";
import { chooseLeaf, type Leaf, type LeafTable } from "../leafs/mod.js";
import type { ExtraCallKind } from "../limits/mod.js";
import {
  newRequest,
  type Reply,
  type RequestEffect,
  type RequestEvent,
  type RequestState,
  type RequestTerms,
  type RequestTimer,
  type RequestWorld,
  stepRequest,
} from "../request/mod.js";
import type { LeafCalls, OpenCall } from "./leaf_calls.js";

/** A request as it is handed to leafs. */
export interface ForwardedRequest {
  readonly method: string;
  /** Path with its query, exactly as the caller sent it. */
  readonly path: string;
  /** Headers that are passed on, names and values by turns. */
  readonly headers: ReadonlyArray<string>;
  readonly body: Buffer | undefined;
}

/** One request to run. */
export interface RunOptions {
  readonly terms: RequestTerms;
  /** One service for each shard. */
  readonly services: ReadonlyArray<string>;
  readonly forwarded: ForwardedRequest;
  /** Told once, unless the caller goes. */
  readonly onReply: (reply: Reply, state: RequestState) => void;
}

/** A request that is running. */
export interface RunningRequest {
  /** Stops all work, since the caller has gone. */
  callerGone(): void;
}

/** What the runner needs of its box. */
export interface RunnerOptions {
  readonly nowMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly distance: (leaf: Leaf) => Distance;
  readonly creditRequest: (service: string) => void;
  readonly takeExtraCall: (service: string, kind: ExtraCallKind) => boolean;
}

/** Runs requests. */
export class RequestRunner {
  readonly #options: RunnerOptions;
  #running = 0;

  /**
   * @param options - What the runner needs of its box.
   */
  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  /** Requests that have no answer yet. */
  get runningCount(): number {
    return this.#running;
  }

  /**
   * Starts a request.
   *
   * @param options - The request.
   * @returns The running request.
   */
  run(options: RunOptions): RunningRequest {
    this.#running += 1;
    for (const service of options.services) {
      this.#options.creditRequest(service);
    }
    const run = new Run(options, this.#options, () => {
      this.#running -= 1;
    });
    run.take({ kind: "started" });
    return run;
  }
}

type EffectRunners = {
  readonly [K in RequestEffect["kind"]]: (
    effect: Extract<RequestEffect, { readonly kind: K }>,
  ) => void;
};

class Run implements RunningRequest {
  readonly #options: RunOptions;
  readonly #box: RunnerOptions;
  readonly #onDone: () => void;
  readonly #openCalls = new Map<number, OpenCall>();
  readonly #timers = new Map<RequestTimer, NodeJS.Timeout>();
  #state: RequestState;

  constructor(options: RunOptions, box: RunnerOptions, onDone: () => void) {
    this.#options = options;
    this.#box = box;
    this.#onDone = onDone;
    this.#state = newRequest(options.terms, options.services);
  }

  callerGone(): void {
    this.take({ kind: "callerGone" });
  }

  take(event: RequestEvent): void {
    const wasDone = this.#state.done;
    const next: Step<RequestState, RequestEffect> = stepRequest(this.#state, event, this.#world());
    this.#state = next.state;
    for (const effect of next.effects) {
      (this.#runners[effect.kind] as (effect: RequestEffect) => void)(effect);
    }
    if (!wasDone && this.#state.done) {
      this.#finish();
    }
  }

  readonly #runners: EffectRunners = {
    call: ({ attemptId, leafId, deadlineAtMs }) => this.#call(attemptId, leafId, deadlineAtMs),
    abandon: ({ attemptId }) => this.#openCalls.get(attemptId)?.abandon(),
    wake: ({ timer, atMs }) => {
      const delayMs = Math.max(0, atMs - this.#box.nowMs());
      this.#timers.set(
        timer,
        setTimeout(() => this.take({ kind: "timer", timer }), delayMs),
      );
    },
    reply: ({ reply }) => this.#options.onReply(reply, this.#state),
  };

  #call(attemptId: number, leafId: string, deadlineAtMs: number): void {
    const leaf = this.#box.leafs().byId.get(leafId);
    if (leaf === undefined) {
      const outcome = { kind: "failed", sent: false, reason: "leaf is gone" } as const;
      queueMicrotask(() => this.take({ kind: "attemptEnded", attemptId, outcome }));
      return;
    }
    const { requestId } = this.#options.terms;
    const call = { leaf, requestId, ...this.#options.forwarded, deadlineAtMs };
    const open = this.#box.calls.send(call, (outcome) => {
      this.#openCalls.delete(attemptId);
      this.take({ kind: "attemptEnded", attemptId, outcome });
    });
    this.#openCalls.set(attemptId, open);
  }

  #world(): RequestWorld {
    const nowMs = this.#box.nowMs();
    const { calls, distance, leafs, takeExtraCall } = this.#box;
    return {
      nowMs,
      chooseLeaf: (service, excluded) => {
        const condition = (leafId: string) => calls.condition(leafId);
        const view = { nowMs, condition, distance, excluded };
        return chooseLeaf(leafs().byService.get(service) ?? [], view)?.leafId;
      },
      takeExtraCall,
    };
  }

  #finish(): void {
    for (const timer of this.#timers.values()) {
      clearTimeout(timer);
    }
    this.#onDone();
  }
}
