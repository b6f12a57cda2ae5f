/**
 * Asks leafs near this box for another box, and hands it their parts merged: those that come in
 * their usual time together, stragglers each as it comes.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { OpenCall } from "../calls/mod.js";
import {
  chooseLeaf,
  INITIAL_LEAF_HEALTH,
  isFull,
  isUnresponsive,
  type LeafHealth,
  queueMs,
} from "../leafs/mod.js";
import {
  type AttemptOutcome,
  type FailedPart,
  mergeRecords,
  recordThreshold,
} from "../request/mod.js";
import { failedPartOf } from "./_failed_part_of.js";
import { type LeafCallTemplate, leafCallTemplate } from "./_leaf_call_template.js";
import type { Relay, RelayServerOptions } from "./_relay.js";
import { encodeRelayFrame } from "./relay_frames.js";
import type { MergedRelayRequest } from "./relay_request.js";

/**
 * The first frame goes when the leafs asked have had this many times their usual time, so that one
 * that pauses does not hold up the others.
 */
const PATIENCE_FACTOR = 1.8;

/** Added to that, in milliseconds, for work that takes longer than the mean. */
const PATIENCE_MS = 4;

/**
 * Times the patience of the box that asked that a call may wait at a leaf which this box keeps full; with
 * more it had better ask elsewhere. Just after a start calls pile up for want of processor time, and
 * declining them all left queries with no leaf to turn to.
 */
const MOST_QUEUE_PATIENCES = 1.5;

interface NearPart {
  readonly service: string;
  readonly signature: string;
  readonly body: Buffer;
}

/** One order for merged parts under way. */
export class MergedRelay implements Relay {
  readonly #order: MergedRelayRequest;
  readonly #response: ServerResponse;
  readonly #options: RelayServerOptions;
  readonly #call: LeafCallTemplate;
  readonly #open = new Set<OpenCall>();
  #waiting: Array<NearPart> = [];
  #lost = new Map<string, FailedPart>();
  #openCount = 0;
  #hasFlushed = false;
  /** Waits at the leafs asked, in milliseconds, until they are told with the first frame. */
  #queuesMs: Array<number> = [];
  /** The greatest of the records handed over so far. */
  #handedOver: Buffer = Buffer.alloc(0);
  #timer: NodeJS.Timeout | undefined;

  constructor(order: MergedRelayRequest, response: ServerResponse, options: RelayServerOptions) {
    this.#order = order;
    this.#call = leafCallTemplate(order);
    this.#response = response;
    this.#options = options;
  }

  start(): void {
    let usualMs = 0;
    for (const service of this.#order.services) {
      usualMs = Math.max(usualMs, this.#ask(service));
    }
    this.#tellLost();
    const patienceMs = Math.min(this.#order.waitLimitMs, usualMs * PATIENCE_FACTOR + PATIENCE_MS);
    this.#timer = setTimeout(() => this.#endPatience(), patienceMs);
    this.#endIfDone();
  }

  stop(): void {
    clearTimeout(this.#timer);
    for (const call of this.#open) {
      call.abandon();
    }
  }

  /** Asks a near leaf; tells how long it usually takes, 0 where there is none. */
  #ask(service: string): number {
    const { access, calls, distance, leafs, nowMs, eventLoopIdleMs: waitedMs } = this.#options;
    const near = (leafs().byService.get(service) ?? []).filter((leaf) => {
      return (
        distance(leaf) !== "remote" &&
        access.blockReasonForLeaf(leaf, this.#call.routeKey) === undefined
      );
    });
    const now = nowMs();
    const mostQueueMs = this.#order.waitLimitMs * MOST_QUEUE_PATIENCES;
    const sound = near.filter((leaf) => {
      const condition = calls.health(leaf.leafId) ?? INITIAL_LEAF_HEALTH;
      const isShort = !isFull(condition, leaf) || queueMs(leaf, condition, now) <= mostQueueMs;
      return isShort && isSound(condition, { nowMs: now, waitedMs: waitedMs() });
    });
    const chosen = chooseLeaf(sound, {
      nowMs: now,
      eventLoopIdleMs: waitedMs(),
      health: (leafId) => calls.health(leafId),
      distance,
      isCold: (leafId) => access.isCold(leafId),
      excluded: NONE,
    });
    if (chosen === undefined) {
      this.#lost.set(service, "declined");
      return 0;
    }
    this.#queuesMs.push(chosen.queueMs);
    const { leftMs } = this.#order;
    this.#openCount += 1;
    const open = calls.send(
      { ...this.#call, leaf: chosen.leaf, deadlineAtMs: now + leftMs },
      (outcome) => {
        this.#openCount -= 1;
        this.#open.delete(open);
        this.#take(service, outcome);
      },
    );
    this.#open.add(open);
    return chosen.typicalLatencyMs;
  }

  #take(service: string, outcome: AttemptOutcome): void {
    const why = failedPartOf(outcome);
    if (why !== undefined) {
      this.#lost.set(service, why);
      this.#tellLost();
    } else if (outcome.kind === "answered") {
      const { signature, body } = outcome.answer;
      this.#waiting.push({ service, signature, body });
    }
    if (this.#hasFlushed) {
      this.#flush();
    }
    this.#endIfDone();
  }

  /** At once: the box that asked can turn to other leafs. */
  #tellLost(): void {
    if (this.#lost.size > 0) {
      this.#tell([]);
    }
  }

  /** Even without a part the box that asked hears, so that it need not doubt the connection. */
  #endPatience(): void {
    if (this.#waiting.length === 0 && !this.#response.destroyed) {
      this.#response.write(NOTHING_YET);
    }
    this.#flush();
  }

  #flush(): void {
    this.#hasFlushed = true;
    const parts = this.#waiting;
    this.#waiting = [];
    this.#tell(parts);
  }

  #tell(parts: ReadonlyArray<NearPart>): void {
    if (parts.length + this.#lost.size === 0 || this.#response.destroyed) {
      return;
    }
    this.#options.onParts(parts.length);
    const lost = this.#lost;
    this.#lost = new Map();
    const signatures = new Map(parts.map(({ service, signature }) => [service, signature]));
    const records = this.#newRecords(parts.map(({ body }) => body));
    const queueMs = this.#takeQueue();
    this.#response.write(
      encodeRelayFrame({ signatures, records, failed: lost, queueMs }, this.#order.services),
    );
  }

  /** The middle one of the waits; nothing more once it has been told. */
  #takeQueue(): number {
    const queues = this.#queuesMs.sort((a, b) => a - b);
    this.#queuesMs = [];
    return Math.round(queues[Math.floor(queues.length / 2)] ?? 0);
  }

  /** Those of the greatest records that have not been handed over: a straggler adds but a few. */
  #newRecords(bodies: ReadonlyArray<Buffer>): Buffer {
    const { topRecords } = this.#order;
    const all = [this.#handedOver, ...bodies];
    const leastRecord = recordThreshold(all, { topRecords });
    const records = mergeRecords(bodies, { topRecords, minRecord: leastRecord });
    this.#handedOver = mergeRecords(all, { topRecords });
    return records;
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

const NOTHING_YET = encodeRelayFrame(
  { signatures: new Map(), records: Buffer.alloc(0), failed: new Map() },
  [],
);

function isSound(
  condition: LeafHealth,
  { nowMs, waitedMs }: { readonly nowMs: number; readonly waitedMs: number },
): boolean {
  return condition.avoidUntilMs <= nowMs && !isUnresponsive(condition, waitedMs);
}
