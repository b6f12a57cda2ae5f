/**
 * Asks other boxes for the parts of leafs near them.
 *
 * @module
 */
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
import { type RelayListener, RelayResponseReader } from "./_relay_response_reader.js";
import { encodeRelayRequest, type RelayRequest } from "./relay_request.js";
import { RELAY_PATH } from "./relay_server.js";

/** Connections to one other box; each carries one order at a time. */
const CONNECTIONS = 16;

/** Time that a new connection to a box has to come up, in milliseconds. */
const CONNECT_MS = 500;

/** Expected time of a box that has not been asked, in milliseconds. */
const UNKNOWN_MS = 60;

/**
 * Time beyond the patience of an order for merged parts after which its connection is given up, in
 * milliseconds: the box that was asked tells by then at least that it has nothing yet. Well above what
 * a box whose code is cold takes, as calls under way are broken off with the order.
 */
const SILENT_MS = 1_000;

/** Age at which a wait that a box told counts no more, in milliseconds. */
const TOLD_QUEUE_MS = 300;

/** Time after its deadline at which an order is broken off, in milliseconds. */
const OVERDUE_MS = 100;

/** A box that can be asked. */
export interface ChosenBox {
  readonly member: Member;
  /** Time in which it usually answers, in milliseconds. */
  readonly typicalLatencyMs: number;
}

/** What a box told of the leafs near it. */
interface ToldQueue {
  readonly queueMs: number;
  readonly atMs: number;
}

/** An order that has not ended. */
interface OpenOrder {
  readonly reader: RelayResponseReader;
  readonly pool: Pool;
  readonly origin: string;
  /** Moment at which its connection is given up if nothing has come in on it. */
  readonly silentAtMs: number;
  /** Moment at which it is broken off in any case. */
  readonly overdueAtMs: number;
}

/** What the orders need of their box. */
export interface RelayCallsOptions {
  readonly nowMs: () => number;
  /** Tells the moment by a clock that stands still while this box is busy, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  /** Told when an order is sent and none was open. */
  readonly onActive?: () => void;
}

/** Orders to other boxes, and how these have behaved. */
export class RelayCalls {
  readonly #nowMs: () => number;
  readonly #waitedMs: () => number;
  readonly #onBusy: () => void;
  readonly #pools = new Map<string, Pool>();
  readonly #conditions = new Map<string, LeafHealth>();
  readonly #queues = new Map<string, ToldQueue>();
  readonly #open = new Map<number, OpenOrder>();
  #nextCallId = 1;

  /**
   * @param options - What the orders need of their box.
   */
  constructor({
    nowMs,
    eventLoopIdleMs: waitedMs,
    onActive: onBusy = () => undefined,
  }: RelayCallsOptions) {
    this.#nowMs = nowMs;
    this.#waitedMs = waitedMs;
    this.#onBusy = onBusy;
  }

  /** Orders that have not ended. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Picks the box with the fewest orders open among those that answer.
   *
   * @param members - Boxes of a region that can be given work.
   * @returns The box, or nothing where none is to be relied on.
   */
  choose(members: ReadonlyArray<Member>): ChosenBox | undefined {
    const now = this.#nowMs();
    let best: ChosenBox | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const member of members) {
      const condition = this.#conditionOf(member);
      const isAvoided = condition.avoidUntilMs > now || isUnresponsive(condition, this.#waitedMs());
      // Ties fall to a random box, so that boxes that start together do not all ask the same one.
      const load = condition.openCalls.length + Math.random();
      if (!isAvoided && load < bestLoad) {
        const usualMs = condition.meanMs === 0 ? UNKNOWN_MS : condition.meanMs;
        best = { member, typicalLatencyMs: usualMs };
        bestLoad = load;
      }
    }
    return best;
  }

  /**
   * Tells how long calls wait at the leafs near some boxes, by what one of them told last.
   *
   * @param members - Boxes at one place.
   * @returns The time in milliseconds; 0 where none of them has told of late.
   */
  queueMs(members: ReadonlyArray<Member>): number {
    let latest: ToldQueue = { queueMs: 0, atMs: this.#nowMs() - TOLD_QUEUE_MS };
    for (const { memberId } of members) {
      const told = this.#queues.get(memberId);
      if (told !== undefined && told.atMs > latest.atMs) {
        latest = told;
      }
    }
    return latest.queueMs;
  }

  /**
   * Sends an order.
   *
   * @param member - The box.
   * @param order - What is wanted.
   * @param listener - Told what comes of it.
   * @returns The order under way.
   */
  send(member: Member, order: RelayRequest, listener: RelayListener): OpenCall {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sent = recordCallSent(this.#conditionOf(member), { callId, waitedMs: this.#waitedMs() });
    this.#conditions.set(member.memberId, sent);
    const reader = new RelayResponseReader(order, listener, {
      onResult: (result) => {
        const end = { callId, nowMs: this.#nowMs(), eventLoopIdleMs: this.#waitedMs(), result };
        this.#conditions.set(member.memberId, recordCallEnd(this.#conditionOf(member), end));
      },
      onQueue: (queueMs) => {
        this.#queues.set(member.memberId, { queueMs, atMs: this.#nowMs() });
      },
      onEnded: () => this.#open.delete(callId),
    });
    const origin = originOf(member);
    const pool = this.#poolOf(origin);
    const overdueAtMs = this.#nowMs() + order.leftMs + OVERDUE_MS;
    const silentAtMs = silentMoment(order, this.#nowMs());
    if (this.#open.size === 0) {
      this.#onBusy();
    }
    this.#open.set(callId, { reader, pool, origin, silentAtMs, overdueAtMs });
    pool.dispatch(
      {
        method: "POST",
        path: RELAY_PATH,
        body: encodeRelayRequest(order),
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      reader,
    );
    // The box that was asked ends its own calls; an order waits for no connection worth speaking of.
    return { abandon: () => reader.abandon(), withdraw: () => undefined };
  }

  /**
   * Breaks off the orders whose deadline has passed, and those on connections that seem to have gone
   * silent. The other connections to that box may be silent as well, so none of them is used again.
   */
  abortOverdue(): void {
    const nowMs = this.#nowMs();
    for (const { origin, overdueAtMs, pool, reader, silentAtMs } of [...this.#open.values()]) {
      const isSilent = !reader.hasResponded && nowMs > silentAtMs;
      if (isSilent && this.#pools.get(origin) === pool) {
        this.#pools.delete(origin);
        void pool.close();
      }
      if (isSilent || nowMs > overdueAtMs) {
        reader.fail();
      }
    }
  }

  #conditionOf({ memberId }: Member): LeafHealth {
    return this.#conditions.get(memberId) ?? INITIAL_LEAF_HEALTH;
  }

  #poolOf(origin: string): Pool {
    const held = this.#pools.get(origin);
    if (held !== undefined) {
      return held;
    }
    const pool = new Pool(origin, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_MS },
    });
    this.#pools.set(origin, pool);
    return pool;
  }
}

function originOf({ address, peerPort }: Member): string {
  return `http://${address}:${peerPort}`;
}

/** Where each part comes by itself, nothing needs to come before the leafs have answered. */
function silentMoment(order: RelayRequest, nowMs: number): number {
  return order.kind === "merged"
    ? nowMs + order.waitLimitMs + SILENT_MS
    : nowMs + order.leftMs + OVERDUE_MS;
}
