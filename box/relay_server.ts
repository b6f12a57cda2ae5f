/**
 * Asks leafs near this box for another box, and hands it their parts merged: those that come in
 * their usual time together, stragglers each as it comes.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  chooseLeaf,
  type Distance,
  isSilent,
  type Leaf,
  type LeafCondition,
  type LeafTable,
  NEW_CONDITION,
} from "../leafs/mod.js";
import { type AttemptOutcome, mergeRecords } from "../request/mod.js";
import type { LeafCalls, OpenCall } from "./leaf_calls.js";
import { encodeRelayed, type RelayOrder } from "./relay_frames.js";

/** Path at which other boxes ask. */
export const RELAY_PATH = "/peer/v1/parts";

/**
 * The first frame goes when the leafs asked have had this many times their usual time, so that one
 * that pauses does not hold up the others.
 */
const PATIENCE_FACTOR = 1.8;

/** Added to that, in milliseconds, for work that takes longer than the mean. */
const PATIENCE_MS = 4;

/** What the server needs of its box. */
export interface RelayServerOptions {
  readonly nowMs: () => number;
  readonly calls: LeafCalls;
  readonly leafs: () => LeafTable;
  readonly distance: (leaf: Leaf) => Distance;
  /** Told how many parts were handed over. */
  readonly onParts: (count: number) => void;
}

/**
 * Answers another box's order.
 *
 * @param request - Its request.
 * @param response - Where the frames go.
 * @param options - What the server needs of its box.
 */
export function answerRelay(
  request: IncomingMessage,
  response: ServerResponse,
  options: RelayServerOptions,
): void {
  const chunks: Array<Buffer> = [];
  request.on("data", (chunk: Buffer) => chunks.push(chunk));
  request.on("end", () => {
    const order = decodeOrder(Buffer.concat(chunks));
    if (order === undefined) {
      response.writeHead(400).end();
      return;
    }
    response.writeHead(200);
    const relay = new Relay(order, response, options);
    response.on("close", () => relay.stop());
    relay.start();
  });
}

/** Boxes trust one another; only what is no order at all is turned away. */
function decodeOrder(body: Buffer): RelayOrder | undefined {
  try {
    const order = JSON.parse(body.toString("utf8")) as RelayOrder;
    return Array.isArray(order.services) ? order : undefined;
  } catch {
    return undefined;
  }
}

interface NearPart {
  readonly service: string;
  readonly signature: string;
  readonly body: Buffer;
}

/** One order under way. */
class Relay {
  readonly #order: RelayOrder;
  readonly #response: ServerResponse;
  readonly #options: RelayServerOptions;
  readonly #open = new Set<OpenCall>();
  #waiting: Array<NearPart> = [];
  #declined: Array<string> = [];
  #openCount = 0;
  #hasFlushed = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(order: RelayOrder, response: ServerResponse, options: RelayServerOptions) {
    this.#order = order;
    this.#response = response;
    this.#options = options;
  }

  start(): void {
    let usualMs = 0;
    for (const service of this.#order.services) {
      usualMs = Math.max(usualMs, this.#ask(service));
    }
    if (this.#declined.length > 0) {
      // At once: the box that asked can turn to other leafs.
      this.#tell([]);
    }
    const patienceMs = Math.min(this.#order.patienceMs, usualMs * PATIENCE_FACTOR + PATIENCE_MS);
    this.#timer = setTimeout(() => this.#flush(), patienceMs);
    this.#endIfDone();
  }

  /** Ends the calls that are open; the box that asked has gone or has all it wanted. */
  stop(): void {
    clearTimeout(this.#timer);
    for (const call of this.#open) {
      call.abandon();
    }
  }

  /** Asks a near leaf; tells how long it usually takes, 0 where there is none. */
  #ask(service: string): number {
    const { calls, distance, leafs, nowMs } = this.#options;
    const near = (leafs().byService.get(service) ?? []).filter((leaf) => distance(leaf) !== "far");
    const now = nowMs();
    const sound = near.filter(({ leafId, slots }) => {
      return isSound(calls.condition(leafId) ?? NEW_CONDITION, { slots, nowMs: now });
    });
    const chosen = chooseLeaf(sound, {
      nowMs: now,
      condition: (leafId) => calls.condition(leafId),
      distance,
      excluded: NONE,
    });
    if (chosen === undefined) {
      this.#declined.push(service);
      return 0;
    }
    const { requestId, method, path, headers, leftMs } = this.#order;
    const call = { requestId, method, path, headers, body: undefined };
    this.#openCount += 1;
    const open = calls.send(
      { ...call, leaf: chosen.leaf, deadlineAtMs: now + leftMs },
      (outcome) => {
        this.#openCount -= 1;
        this.#open.delete(open);
        this.#take(service, outcome);
      },
    );
    this.#open.add(open);
    return chosen.usualMs;
  }

  #take(service: string, outcome: AttemptOutcome): void {
    if (outcome.kind === "answered") {
      const { statusCode, signature, body } = outcome.answer;
      if (statusCode >= 200 && statusCode < 300 && signature !== "") {
        this.#waiting.push({ service, signature, body });
      }
    }
    if (this.#hasFlushed) {
      this.#flush();
    }
    this.#endIfDone();
  }

  #flush(): void {
    this.#hasFlushed = true;
    const parts = this.#waiting;
    this.#waiting = [];
    this.#tell(parts);
  }

  #tell(parts: ReadonlyArray<NearPart>): void {
    if (parts.length + this.#declined.length === 0 || this.#response.destroyed) {
      return;
    }
    this.#options.onParts(parts.length);
    const declined = this.#declined;
    this.#declined = [];
    const records = mergeRecords(
      parts.map(({ body }) => body),
      { topRecords: this.#order.topRecords },
    );
    const signatures = new Map(parts.map(({ service, signature }) => [service, signature]));
    this.#response.write(encodeRelayed({ signatures, records, declined }));
  }

  #endIfDone(): void {
    if (this.#openCount === 0) {
      clearTimeout(this.#timer);
      this.#flush();
      this.#response.end();
    }
  }
}

const NONE: ReadonlySet<string> = new Set();

/** Calls open at a leaf, as a multiple of its slots, at which another box had better turn elsewhere. */
const FULL_FACTOR = 2;

function isSound(
  condition: LeafCondition,
  { slots, nowMs }: { readonly slots: number; readonly nowMs: number },
): boolean {
  const isFull = condition.openCalls.size >= slots * FULL_FACTOR;
  return !isFull && condition.avoidUntilMs <= nowMs && !isSilent(condition, nowMs);
}
