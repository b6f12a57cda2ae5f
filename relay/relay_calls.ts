/**
 * Asks other boxes for the parts of leafs near them.
 *
 * @module
 */
import { type Dispatcher, Pool } from "undici";
import type { OpenCall } from "../calls/mod.js";
import { isSilent, type LeafCondition, NEW_CONDITION, noteEnded, noteSent } from "../leafs/mod.js";
import type { Member } from "../model/mod.js";
import type { RelayedParts } from "../request/mod.js";
import { RelayedReader } from "./relay_frames.js";
import { encodeOrder, type RelayOrder } from "./relay_order.js";
import { RELAY_PATH } from "./relay_server.js";

/** Connections to one other box; each carries one order at a time. */
const CONNECTIONS = 16;

/** Time that a new connection to a box has to come up, in milliseconds. */
const CONNECT_MS = 500;

/** Expected time of a box that has not been asked, in milliseconds. */
const UNKNOWN_MS = 60;

/** Told what comes of an order. */
export interface RelayListener {
  onParts(parts: RelayedParts): void;
  /** Told once when nothing more will come. */
  onEnd(): void;
}

/** A box that can be asked. */
export interface ChosenBox {
  readonly member: Member;
  /** Time in which it usually answers, in milliseconds. */
  readonly usualMs: number;
}

/** Orders to other boxes, and how these have behaved. */
export class RelayCalls {
  readonly #nowMs: () => number;
  readonly #pools = new Map<string, Pool>();
  readonly #conditions = new Map<string, LeafCondition>();
  #nextCallId = 1;

  /**
   * @param nowMs - Tells the present moment.
   */
  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
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
      const isAvoided = condition.avoidUntilMs > now || isSilent(condition, now);
      // Ties fall to a random box, so that boxes that start together do not all ask the same one.
      const load = condition.openCalls.length + Math.random();
      if (!isAvoided && load < bestLoad) {
        const usualMs = condition.meanMs === 0 ? UNKNOWN_MS : condition.meanMs;
        best = { member, usualMs };
        bestLoad = load;
      }
    }
    return best;
  }

  /**
   * Sends an order.
   *
   * @param member - The box.
   * @param order - What is wanted.
   * @param listener - Told what comes of it.
   * @returns The order under way.
   */
  send(member: Member, order: RelayOrder, listener: RelayListener): OpenCall {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const sent = noteSent(this.#conditionOf(member), { callId, nowMs: this.#nowMs() });
    this.#conditions.set(member.memberId, sent);
    const reader = new OrderReader(listener, (result) => {
      const end = { callId, nowMs: this.#nowMs(), result };
      this.#conditions.set(member.memberId, noteEnded(this.#conditionOf(member), end));
    });
    this.#poolOf(member).dispatch(
      {
        method: "POST",
        path: RELAY_PATH,
        body: encodeOrder(order),
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      reader,
    );
    return { abandon: () => reader.abandon() };
  }

  #conditionOf({ memberId }: Member): LeafCondition {
    return this.#conditions.get(memberId) ?? NEW_CONDITION;
  }

  #poolOf({ address, peerPort }: Member): Pool {
    const origin = `http://${address}:${peerPort}`;
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

type Noted = "answered" | "failed" | "abandoned";

/** Reads the frames of one order; the box counts as answering from its first one on. */
class OrderReader implements Dispatcher.DispatchHandler {
  readonly #listener: RelayListener;
  readonly #note: (result: Noted) => void;
  readonly #frames = new RelayedReader();
  #controller: Dispatcher.DispatchController | undefined;
  #noted = false;
  #ended = false;

  constructor(listener: RelayListener, note: (result: Noted) => void) {
    this.#listener = listener;
    this.#note = note;
  }

  abandon(): void {
    this.#noteOnce("abandoned");
    this.#ended = true;
    this.#controller?.abort(new Error("abandoned"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#ended) {
      controller.abort(new Error("abandoned"));
    }
  }

  onResponseStart(): void {
    // The frames tell all there is.
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    for (const parts of this.#frames.read(chunk)) {
      this.#noteOnce("answered");
      this.#listener.onParts(parts);
    }
  }

  onResponseEnd(): void {
    this.#noteOnce("answered");
    this.#end();
  }

  onResponseError(): void {
    this.#noteOnce("failed");
    this.#end();
  }

  #noteOnce(result: Noted): void {
    if (!this.#noted) {
      this.#noted = true;
      this.#note(result);
    }
  }

  #end(): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#listener.onEnd();
    }
  }
}
