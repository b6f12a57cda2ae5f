/**
 * Client for relay requests: requests parts from leafs of another region through boxes there.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { Pool } from "undici";
import type { OpenCall } from "../calls/mod.js";
import {
  INITIAL_LEAF_HEALTH,
  isUnresponsive,
  type LeafHealth,
  recordCallEnd,
  recordCallSent,
} from "../leafs/mod.js";
import type { Member } from "../model/mod.js";
import { FirstFrames } from "./_first_frames.js";
import { type RelayListener, RelayResponseReader } from "./_relay_response_reader.js";
import { encodeRelayRequest, type RelayRequest } from "./relay_request.js";
import { RELAY_PATH } from "./relay_server.js";
import { encodeSentTime, SENT_HEADER } from "./transit_delays.js";

/** Maximum number of connections per box; each carries one request at a time. */
const CONNECTIONS = 16;

/** Connection timeout, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Assumed latency of a box that has not been called yet, in milliseconds. */
const ASSUMED_LATENCY_MS = 60;

/**
 * Time after the wait limit of a merged request at which an unresponsive connection is closed, in
 * milliseconds. The relaying box sends a frame at the wait limit even if it has no parts. A box
 * that has just started takes longer, and its calls would be aborted with the connection.
 */
const UNRESPONSIVE_MARGIN_MS = 1_000;

/** Age at which a reported queueing delay is ignored, in milliseconds. */
const QUEUE_REPORT_TTL_MS = 300;

/** Time after its deadline at which a request is aborted, in milliseconds. */
const OVERDUE_MARGIN_MS = 100;

/** Load of a box whose first frame is late, in requests: more than the requests open at a box. */
const LATE_LOAD = 100_000;

/** Number of random bytes that identify this process's clock; few, as each request contains them. */
const CLOCK_ID_BYTES = 4;

/** The selected box. */
export interface ChosenBox {
  readonly member: Member;
  /** Mean latency of the box, in milliseconds. */
  readonly typicalLatencyMs: number;
}

/** Queueing delay that a box reported for its local leafs. */
interface QueueReport {
  readonly queueMs: number;
  readonly atMs: number;
}

/** A request that has not ended. */
interface OpenRequest {
  readonly reader: RelayResponseReader;
  readonly pool: Pool;
  readonly origin: string;
  /** Time at which the connection is closed if nothing has been received, in milliseconds. */
  readonly unresponsiveAtMs: number;
  /** Time at which the request is aborted in any case, in milliseconds. */
  readonly overdueAtMs: number;
}

/** How a box is selected. */
export interface BoxSelection {
  /**
   * Whether boxes whose first frame is late must not be selected, nor those from which nothing was
   * received since, as they may have stalled together; `false` by default.
   */
  readonly excludesLate?: boolean;
  /**
   * Whether the request has a body, which boxes of earlier builds cannot relay; `false` by default.
   */
  readonly hasBody?: boolean;
}

/** Options of `RelayCalls`. */
export interface RelayCallsOptions {
  readonly nowMs: () => number;
  /** Returns the event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  /** Called when a request is sent while no other is open. */
  readonly onActive?: () => void;
}

/** Sends relay requests to other boxes and tracks the health of these boxes. */
export class RelayCalls {
  readonly #nowMs: () => number;
  readonly #eventLoopIdleMs: () => number;
  readonly #onActive: () => void;
  #clockId = newClockId();
  readonly #pools = new Map<string, Pool>();
  readonly #health = new Map<string, LeafHealth>();
  readonly #queueReports = new Map<string, QueueReport>();
  readonly #firstFrames: FirstFrames;
  /** Incarnations of boxes that have rejected a request with a body, by box. */
  readonly #bodyRejections = new Map<string, string>();
  readonly #open = new Map<number, OpenRequest>();
  #nextCallId = 1;

  /**
   * @param options - Clocks and callbacks.
   */
  constructor({ nowMs, eventLoopIdleMs, onActive = () => undefined }: RelayCallsOptions) {
    this.#nowMs = nowMs;
    this.#eventLoopIdleMs = eventLoopIdleMs;
    this.#onActive = onActive;
    this.#firstFrames = new FirstFrames({ nowMs, eventLoopIdleMs });
  }

  /** Number of open requests. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Selects the responsive box with the fewest open requests. Boxes whose first frame is late are
   * selected only if there is no other.
   *
   * @param members - Candidate boxes of a region.
   * @param options - Which boxes must not be selected.
   * @returns The box, or `undefined` if none is available.
   */
  choose(
    members: ReadonlyArray<Member>,
    { excludesLate = false, hasBody = false }: BoxSelection = {},
  ): ChosenBox | undefined {
    const now = this.#nowMs();
    const late = this.#firstFrames.lateSinceMs();
    const lateSinceMs = earliestOf(members, late);
    let best: ChosenBox | undefined;
    let minLoad = Number.POSITIVE_INFINITY;
    for (const member of members) {
      const health = this.#healthOf(member);
      const isLate = late.has(member.memberId);
      const isAvoided =
        health.avoidUntilMs > now ||
        (excludesLate &&
          (isLate || !this.#firstFrames.hasResponded(member.memberId, lateSinceMs))) ||
        (hasBody && this.#rejectsBodies(member)) ||
        isUnresponsive(health, this.#eventLoopIdleMs());
      // Ties are broken at random, so that boxes started together do not all select the same one.
      const load = health.openCalls.length + (isLate ? LATE_LOAD : 0) + Math.random();
      if (!isAvoided && load < minLoad) {
        const typicalLatencyMs = health.meanMs === 0 ? ASSUMED_LATENCY_MS : health.meanMs;
        best = { member, typicalLatencyMs };
        minLoad = load;
      }
    }
    return best;
  }

  /**
   * Returns the queueing delay at the leafs of a location, as last reported by one of its boxes.
   *
   * @param members - Boxes of the location.
   * @returns The delay in milliseconds; 0 without a recent report.
   */
  queueMs(members: ReadonlyArray<Member>): number {
    let latest: QueueReport = { queueMs: 0, atMs: this.#nowMs() - QUEUE_REPORT_TTL_MS };
    for (const { memberId } of members) {
      const report = this.#queueReports.get(memberId);
      if (report !== undefined && report.atMs > latest.atMs) {
        latest = report;
      }
    }
    return latest.queueMs;
  }

  /**
   * Sends a relay request.
   *
   * @param member - The relaying box.
   * @param request - The relay request.
   * @param listener - Receives the results.
   * @param options - Time within which the first frame is expected, in milliseconds. A box that
   *   exceeds it is not selected until a frame has arrived.
   * @returns A handle to abandon the request.
   */
  send(
    member: Member,
    request: RelayRequest,
    listener: RelayListener,
    { firstFrameMs }: { readonly firstFrameMs?: number } = {},
  ): OpenCall {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sent = recordCallSent(this.#healthOf(member), {
      callId,
      eventLoopIdleMs: this.#eventLoopIdleMs(),
    });
    this.#health.set(member.memberId, sent);
    const reader = new RelayResponseReader(request, listener, {
      onResult: (result) => {
        this.#firstFrames.settle(callId);
        if (result === "answered") {
          this.#firstFrames.recordFrame(member.memberId);
        }
        const end = {
          callId,
          nowMs: this.#nowMs(),
          eventLoopIdleMs: this.#eventLoopIdleMs(),
          result,
        };
        this.#health.set(member.memberId, recordCallEnd(this.#healthOf(member), end));
      },
      onQueue: (queueMs) => {
        this.#queueReports.set(member.memberId, { queueMs, atMs: this.#nowMs() });
      },
      onRejected: () => {
        if (request.body !== undefined) {
          this.#bodyRejections.set(member.memberId, member.incarnation);
        }
      },
      onEnded: () => this.#open.delete(callId),
    });
    const origin = originOf(member);
    const pool = this.#poolOf(origin);
    const overdueAtMs = this.#nowMs() + request.leftMs + OVERDUE_MARGIN_MS;
    const unresponsiveAtMs = firstFrameDeadlineMs(request, this.#nowMs());
    if (this.#open.size === 0) {
      this.#onActive();
    }
    if (firstFrameMs !== undefined) {
      this.#firstFrames.expect({ callId, memberId: member.memberId, firstFrameMs });
    }
    const open = { reader, pool, origin, unresponsiveAtMs, overdueAtMs };
    this.#open.set(callId, open);
    pool.dispatch(
      {
        method: "POST",
        path: RELAY_PATH,
        headers: { [SENT_HEADER]: this.#sentTime() },
        body: encodeRelayRequest(request),
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      reader,
    );
    // Withdrawing has no effect: requests are not queued, and the relaying box ends its own calls.
    return { abandon: () => reader.abandon(), withdraw: () => undefined };
  }

  /**
   * States times by a new clock from now on. After a suspension of this box that its clock may not
   * include, other boxes would otherwise take the time for a delay of its requests.
   */
  renewClock(): void {
    this.#clockId = newClockId();
  }

  /**
   * Aborts requests whose deadline has passed or whose connection is unresponsive. After an
   * unresponsive connection, none of the existing connections to that box is used again.
   */
  abortOverdue(): void {
    const nowMs = this.#nowMs();
    for (const { origin, overdueAtMs, pool, reader, unresponsiveAtMs } of [
      ...this.#open.values(),
    ]) {
      const isConnectionUnresponsive = !reader.hasResult && nowMs > unresponsiveAtMs;
      if (isConnectionUnresponsive && this.#pools.get(origin) === pool) {
        this.#pools.delete(origin);
        void pool.close();
      }
      if (isConnectionUnresponsive || nowMs > overdueAtMs) {
        reader.fail();
      }
    }
  }

  #sentTime(): string {
    return encodeSentTime({ clockId: this.#clockId, sentAtMs: this.#nowMs() });
  }

  /** Whether the box, which may have been restarted since, has rejected a request with a body. */
  #rejectsBodies({ memberId, incarnation }: Member): boolean {
    return this.#bodyRejections.get(memberId) === incarnation;
  }

  #healthOf({ memberId }: Member): LeafHealth {
    return this.#health.get(memberId) ?? INITIAL_LEAF_HEALTH;
  }

  #poolOf(origin: string): Pool {
    const existing = this.#pools.get(origin);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(origin, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.#pools.set(origin, pool);
    return pool;
  }
}

function newClockId(): string {
  return randomBytes(CLOCK_ID_BYTES).toString("hex");
}

function originOf({ address, peerPort }: Member): string {
  return `http://${address}:${peerPort}`;
}

/**
 * Returns the time by which the first frame must arrive. For separate parts, that is the deadline.
 */
function firstFrameDeadlineMs(request: RelayRequest, nowMs: number): number {
  return request.kind === "merged"
    ? nowMs + request.waitLimitMs + UNRESPONSIVE_MARGIN_MS
    : nowMs + request.leftMs + OVERDUE_MARGIN_MS;
}

/** Returns the earliest time of some boxes; infinitely early if they have none. */
function earliestOf(members: ReadonlyArray<Member>, timesMs: ReadonlyMap<string, number>): number {
  const known = members.flatMap(({ memberId }) => timesMs.get(memberId) ?? []);
  return known.length === 0 ? Number.NEGATIVE_INFINITY : Math.min(...known);
}
