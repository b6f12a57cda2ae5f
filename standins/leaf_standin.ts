/**
 * A leaf of the backend server stand-in. It simulates slots, a limit on connections, the cost of a
 * new connection, concurrent snapshots, stragglers, load shedding, cancellation and deadlines.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import prand from "pure-rand";
import { LEAF_HEADERS, LEAF_PATHS } from "../backend/mod.js";
import { fnv1a } from "../hashing/mod.js";
import { reply, type StandinRequest, serve } from "./http.js";

/** Options of a leaf stand-in. */
export interface LeafStandinOptions {
  readonly service: string;
  readonly leafId: string;
  readonly address: string;
  readonly port: number;
  readonly slots: number;
  readonly maxConnections: number;
  /** Delay before the first request on a new connection is handled, in milliseconds. */
  readonly connectCostMs: number;
  /** Mean duration of a call that is no straggler, in milliseconds. */
  readonly serviceTimeMs: number;
  /** Share of calls that are stragglers, and the factor by which they take longer. */
  readonly stragglers: { readonly share: number; readonly factor: number };
  /** Shards that the leaf serves, by snapshot. */
  readonly holdings: Readonly<Record<string, ReadonlyArray<string>>>;
  readonly rowsPerShard: number;
  readonly seed: number;
  /** State of the leaf, reported at `/load` and with responses. */
  readonly state: "ready" | "cold" | "draining";
  /** State reported at `/load` in place of the actual one. */
  readonly reportedState: "ready" | "cold" | "draining" | undefined;
  /** Kind of invalid response that the leaf sends. */
  readonly misbehaviour: "none" | "empty" | "other snapshot" | "garbage" | "hang up";
}

/** A call that was run. */
export interface LeafRun {
  readonly leafId: string;
  readonly callId: string;
  readonly shard: string;
  readonly snapshot: string;
  /** Field `mark` of the request body; empty if there is none. */
  readonly mark: string;
  readonly atMs: number;
}

interface LeafCall {
  readonly request: StandinRequest;
  readonly callId: string;
  readonly snapshot: string;
  readonly shard: string;
  readonly deadlineAtMs: number;
}

/** A running leaf stand-in. */
export interface LeafStandin {
  readonly port: number;
  /** Changes options of the running leaf. */
  change(options: Partial<LeafStandinOptions>): void;
  readonly runs: Array<LeafRun>;
  readonly stats: { calls: number; shed: number; cancelled: number; maxInFlight: number };
  close(): void;
}

/** Maximum number of calls that wait for a slot. */
const MAX_QUEUE_LENGTH = 64;

/**
 * Generates the rows of a shard; every replica returns the same rows.
 *
 * @param service - Name of the service.
 * @param location - Snapshot and shard.
 * @param rowCount - Number of rows.
 * @returns The rows.
 */
export function shardRows(
  service: string,
  { snapshot, shard }: { readonly snapshot: string; readonly shard: string },
  rowCount: number,
): ReadonlyArray<Readonly<Record<string, unknown>>> {
  return Array.from({ length: rowCount }, (_, index) => {
    const id = `${service}/${snapshot}/${shard}/${index}`;
    return { id, snapshot, shard, price: fnv1a(id) % 10_000 };
  });
}

/**
 * Starts a leaf stand-in.
 *
 * @param initial - Options at the start.
 * @returns The stand-in.
 */
export async function startLeafStandin(initial: LeafStandinOptions): Promise<LeafStandin> {
  let options = initial;
  let random = prand.xoroshiro128plus(initial.seed + fnv1a(initial.leafId));
  let inFlight = 0;
  let queue: Array<LeafCall> = [];
  const running = new Map<string, () => void>();
  const readyAtMs = new WeakMap<Socket, number>();
  const runs: Array<LeafRun> = [];
  const stats = { calls: 0, shed: 0, cancelled: 0, maxInFlight: 0 };

  function nextRandom(): number {
    const [value, next] = prand.uniformIntDistribution(0, 999_999, random);
    random = next;
    return value / 1_000_000;
  }

  function durationMs(): number {
    const { share, factor } = options.stragglers;
    const typicalMs = options.serviceTimeMs * (0.75 + 0.5 * nextRandom());
    return nextRandom() < share ? typicalMs * factor : typicalMs;
  }

  function refuse(response: ServerResponse, statusCode: number, reason: string): void {
    response.setHeader(LEAF_HEADERS.state, options.state);
    const retryAfterMs = Math.ceil((queue.length / options.slots) * options.serviceTimeMs);
    reply(response, statusCode, { reason, notRun: true, retryAfterMs });
  }

  function handleQuery(request: StandinRequest): void {
    const { headers } = request.request;
    const snapshot = String(headers[LEAF_HEADERS.snapshot]);
    const shard = String(headers[LEAF_HEADERS.shard]);
    const deadlineMs = Number(headers[LEAF_HEADERS.deadlineMs] ?? 1_000);
    const callId = String(headers[LEAF_HEADERS.callId]);
    const call = { request, callId, snapshot, shard, deadlineAtMs: performance.now() + deadlineMs };
    stats.calls += 1;
    const shards = options.holdings[snapshot];
    if (options.misbehaviour === "hang up") {
      request.response.destroy();
    } else if (options.state !== "ready") {
      refuse(request.response, 503, options.state === "cold" ? "cold" : "leaving");
    } else if (shards === undefined) {
      refuse(request.response, 409, "wrong snapshot");
    } else if (!shards.includes(shard)) {
      refuse(request.response, 409, "not held");
    } else if (queue.length >= MAX_QUEUE_LENGTH) {
      stats.shed += 1;
      refuse(request.response, 503, "overloaded");
    } else {
      queue.push(call);
      runNext();
    }
  }

  function runNext(): void {
    while (inFlight < options.slots && queue.length > 0) {
      const call = queue.shift();
      if (call !== undefined) {
        run(call);
      }
    }
  }

  function run(call: LeafCall): void {
    const { request, callId, snapshot, shard } = call;
    if (performance.now() > call.deadlineAtMs) {
      stats.shed += 1;
      refuse(request.response, 503, "overloaded");
      return;
    }
    inFlight += 1;
    stats.maxInFlight = Math.max(stats.maxInFlight, inFlight);
    const mark = parseMark(request.body);
    runs.push({ leafId: options.leafId, callId, shard, snapshot, mark, atMs: performance.now() });
    const finish = (): void => {
      running.delete(callId);
      clearTimeout(timer);
      inFlight -= 1;
      runNext();
    };
    const timer = setTimeout(() => {
      finish();
      answer(call);
    }, durationMs());
    running.set(callId, () => {
      finish();
      reply(request.response, 499, { reason: "cancelled", notRun: false });
    });
  }

  function answer({ request: { response }, snapshot, shard }: LeafCall): void {
    const { service, rowsPerShard, misbehaviour } = options;
    const reportedSnapshot = misbehaviour === "other snapshot" ? `${snapshot}-other` : snapshot;
    const rows = shardRows(service, { snapshot, shard }, rowsPerShard);
    const text = misbehaviour === "garbage" ? "[{" : JSON.stringify(rows);
    response.writeHead(200, {
      "content-type": "application/json",
      [LEAF_HEADERS.snapshot]: reportedSnapshot,
      [LEAF_HEADERS.shard]: shard,
      [LEAF_HEADERS.rowCount]: String(rows.length),
      [LEAF_HEADERS.state]: options.state,
    });
    response.end(misbehaviour === "empty" ? "[]" : text);
  }

  function cancel({ request, response }: StandinRequest): void {
    const callId = String(request.headers[LEAF_HEADERS.callId]);
    const queued = queue.find((call) => call.callId === callId);
    if (queued !== undefined) {
      queue = queue.filter((call) => call !== queued);
      refuse(queued.request.response, 499, "cancelled");
    }
    if (queued !== undefined || running.has(callId)) {
      stats.cancelled += 1;
    }
    running.get(callId)?.();
    reply(response, 200, {});
  }

  const routes: Readonly<Record<string, (request: StandinRequest) => void>> = {
    [LEAF_PATHS.query]: handleQuery,
    [LEAF_PATHS.cancel]: cancel,
    [LEAF_PATHS.load]: ({ response }) =>
      reply(response, 200, {
        state: options.reportedState ?? options.state,
        inFlight,
        queued: queue.length,
        slots: options.slots,
      }),
  };

  const { server, port } = await serve((request) => {
    const { socket } = request.request;
    const waitMs = (readyAtMs.get(socket) ?? 0) - performance.now();
    const handle = routes[request.path];
    if (handle === undefined) {
      reply(request.response, 404, {});
    } else if (waitMs > 0) {
      setTimeout(() => handle(request), waitMs);
    } else {
      handle(request);
    }
  }, options);
  server.maxConnections = initial.maxConnections;
  server.on("connection", (socket: Socket) => {
    readyAtMs.set(socket, performance.now() + options.connectCostMs);
  });

  return {
    port,
    change: (changes) => {
      options = { ...options, ...changes };
    },
    runs,
    stats,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function parseMark(body: string): string {
  try {
    const data = JSON.parse(body) as { readonly mark?: unknown } | null;
    return typeof data?.mark === "string" ? data.mark : "";
  } catch {
    return "";
  }
}
