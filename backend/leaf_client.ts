/**
 * HTTP client for leafs, with persistent connections limited by each leaf's connection cap.
 *
 * @module
 */
import { type Dispatcher, Pool } from "undici";
import type { Leaf } from "../catalog/mod.js";
import { timeoutSignal } from "../clock/mod.js";
import type { Dispatch, LeafOutcome, LeafSignal } from "../pool/pool_messages.js";
import {
  LEAF_HEADERS,
  LEAF_PATHS,
  MAX_ANSWER_BYTES,
  parseLeafAnswer,
  parseSignal,
} from "./leaf_protocol.js";

/** Outcome of a call, with the state that the leaf reported in its answer. */
export interface LeafCallResult {
  readonly outcome: LeafOutcome;
  readonly signal: LeafSignal | undefined;
}

/** Client for calls to leafs. */
export interface LeafClient {
  /** Sends a call. `onEnd` is called exactly once. */
  dispatch(dispatch: Dispatch, onEnd: (result: LeafCallResult) => void): void;
  /** Asks a leaf to cancel a call, and keeps the call's connection open. */
  cancel(flightId: string, leaf: Leaf): void;
  /** Requests the state of a leaf; undefined if it does not answer or reports no valid state. */
  probe(leaf: Leaf): Promise<LeafSignal | undefined>;
  /** Closes all connections. */
  close(): void;
}

/** Options of {@linkcode leafClient}. */
export interface LeafClientOptions {
  /** Incarnation of the pool, the prefix that makes its call ids unique. */
  readonly incarnation: string;
}

/** Time after the deadline of a call before its connection is aborted, in milliseconds. */
const LATE_ANSWER_GRACE_MS = 1_000;

/** Timeout for connecting, probing and cancelling, in milliseconds. */
const REQUEST_TIMEOUT_MS = 800;

/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 55_000;

/** Connections beyond one per slot: one for cancellations and one for probes. */
const EXTRA_CONNECTIONS = 2;

/**
 * Creates a client for leafs.
 *
 * @param options - Incarnation of the pool.
 * @returns The client.
 */
export function leafClient({ incarnation }: LeafClientOptions): LeafClient {
  const pools = new Map<string, Pool>();

  function poolOf(leaf: Leaf): Pool {
    const key = `${leaf.address}:${leaf.port}`;
    const existing = pools.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const host = leaf.address.includes(":") ? `[${leaf.address}]` : leaf.address;
    const created = new Pool(`http://${host}:${leaf.port}`, {
      connections: connectionLimit(leaf),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: REQUEST_TIMEOUT_MS },
    });
    pools.set(key, created);
    warmUp(created, leaf);
    return created;
  }

  return {
    dispatch: (dispatch, onEnd) => {
      const pool = poolOf(dispatch.leaf);
      const callId = `${incarnation}.${dispatch.flightId}`;
      const handler = new CallHandler(onEnd, {
        timeoutMs: dispatch.timeoutMs,
        onDeadline: () => sendCancel(pool, callId),
      });
      pool.dispatch(toRequestOptions(dispatch, callId), handler);
    },
    cancel: (flightId, leaf) => sendCancel(poolOf(leaf), `${incarnation}.${flightId}`),
    probe: async (leaf) => {
      try {
        const answer = await poolOf(leaf).request({
          method: "GET",
          path: LEAF_PATHS.load,
          signal: timeoutSignal(REQUEST_TIMEOUT_MS),
        });
        const body = (await answer.body.json()) as Readonly<Record<string, unknown>> | null;
        return parseSignal(body?.state);
      } catch {
        return undefined;
      }
    },
    close: () => {
      for (const pool of pools.values()) {
        void pool.destroy();
      }
    },
  };
}

/** At most half of the cap, as two pools may own a leaf while ownership moves. */
function connectionLimit({ slots, maxConnections }: Leaf): number {
  return Math.max(1, Math.min(slots + EXTRA_CONNECTIONS, Math.floor(maxConnections / 2)));
}

/** Opens a connection for each slot ahead of the first call. */
function warmUp(pool: Pool, { slots }: Leaf): void {
  for (let opened = 0; opened < slots; opened++) {
    pool
      .request({
        method: "GET",
        path: LEAF_PATHS.load,
        signal: timeoutSignal(REQUEST_TIMEOUT_MS),
      })
      .then((answer) => answer.body.dump())
      .catch(() => undefined);
  }
}

function sendCancel(pool: Pool, callId: string): void {
  pool
    .request({
      method: "POST",
      path: LEAF_PATHS.cancel,
      headers: { [LEAF_HEADERS.callId]: callId },
      signal: timeoutSignal(REQUEST_TIMEOUT_MS),
    })
    .then((answer) => answer.body.dump())
    .catch(() => undefined);
}

function toRequestOptions(dispatch: Dispatch, callId: string): Dispatcher.DispatchOptions {
  return {
    method: "POST",
    path: LEAF_PATHS.query,
    headers: {
      "content-type": "application/json",
      [LEAF_HEADERS.callId]: callId,
      [LEAF_HEADERS.snapshot]: dispatch.snapshot,
      [LEAF_HEADERS.shard]: dispatch.shard,
      [LEAF_HEADERS.deadlineMs]: String(Math.max(1, Math.round(dispatch.timeoutMs))),
      [LEAF_HEADERS.priority]: String(dispatch.priorityRank),
      [LEAF_HEADERS.rights]: dispatch.rights,
    },
    body: dispatch.bodyJson,
    idempotent: false,
  };
}

interface CallHandlerOptions {
  readonly timeoutMs: number;
  /** Called if there is no answer by the deadline. */
  readonly onDeadline: () => void;
}

/** Handles the response to one call and reports its result once. */
class CallHandler implements Dispatcher.DispatchHandler {
  readonly #onEnd: (result: LeafCallResult) => void;
  readonly #chunks: Array<Buffer> = [];
  readonly #deadlineTimer: NodeJS.Timeout;
  #abortTimer: NodeJS.Timeout | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #hasStarted = false;
  #hasEnded = false;
  #statusCode = 0;
  #sizeBytes = 0;
  #headers: Readonly<Record<string, string | string[] | undefined>> = {};

  constructor(
    onEnd: (result: LeafCallResult) => void,
    { timeoutMs, onDeadline }: CallHandlerOptions,
  ) {
    this.#onEnd = onEnd;
    this.#deadlineTimer = setTimeout(
      () => {
        onDeadline();
        this.#abortTimer = setTimeout(() => this.#abort(), LATE_ANSWER_GRACE_MS);
      },
      Math.max(1, timeoutMs),
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#hasStarted = true;
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    this.#statusCode = statusCode;
    this.#headers = headers;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#sizeBytes += chunk.length;
    if (this.#sizeBytes > MAX_ANSWER_BYTES) {
      controller.abort(new Error("Leaf answer exceeds the maximum size"));
      return;
    }
    this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    const outcome = parseLeafAnswer({
      statusCode: this.#statusCode,
      headers: this.#headers,
      text: Buffer.concat(this.#chunks).toString("utf8"),
    });
    this.#finish(outcome);
  }

  onResponseError(): void {
    // Until the request starts, no byte of it has been sent; after that the leaf may have run it.
    this.#finish({ kind: "failed", reason: "leaf failed", notSent: !this.#hasStarted });
  }

  #abort(): void {
    this.#controller?.abort(new Error("Leaf did not answer within the deadline and grace period"));
    this.#finish({ kind: "failed", reason: "deadline", notSent: false });
  }

  #finish(outcome: LeafOutcome): void {
    if (this.#hasEnded) {
      return;
    }
    this.#hasEnded = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#abortTimer);
    this.#onEnd({ outcome, signal: parseSignal(this.#headers[LEAF_HEADERS.state]) });
  }
}
