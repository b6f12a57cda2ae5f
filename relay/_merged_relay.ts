/**
 * Handles relay requests for merged parts: calls local leafs for another box and merges their
 * parts. The parts that arrive within the typical latency are sent in one frame, later ones as they
 * arrive.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { OpenCall } from "../calls/mod.js";
import {
  choosePreferred,
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
import type { Relay, RelayOptions } from "./_relay.js";
import { encodeRelayFrame } from "./relay_frames.js";
import type { MergedRelayRequest } from "./relay_request.js";

/**
 * The first frame is sent after this multiple of the leafs' typical latency, so that a slow leaf
 * does not delay it.
 */
const FIRST_FRAME_LATENCY_FACTOR = 1.8;

/** Margin added to that time, in milliseconds. */
const FIRST_FRAME_MARGIN_MS = 4;

/**
 * Maximum queueing delay at a full leaf, as a multiple of the request's wait limit; calls above it
 * are declined.
 */
const MAX_QUEUE_FACTOR = 1.5;

interface LocalPart {
  readonly service: string;
  readonly signature: string;
  readonly body: Buffer;
}

/** A relay request for merged parts in progress. */
export class MergedRelay implements Relay {
  readonly #request: MergedRelayRequest;
  readonly #response: ServerResponse;
  readonly #options: RelayOptions;
  readonly #call: LeafCallTemplate;
  readonly #open = new Set<OpenCall>();
  #pendingParts: Array<LocalPart> = [];
  #failed = new Map<string, FailedPart>();
  #openCount = 0;
  #hasFlushed = false;
  #isFlushScheduled = false;
  #hasEnded = false;
  /**
   * Queueing delays at the called leafs, in milliseconds, until they are reported with the first
   * frame.
   */
  #queuesMs: Array<number> = [];
  /** The top records sent so far. */
  #sentRecords: Buffer = Buffer.alloc(0);
  #timer: NodeJS.Timeout | undefined;

  constructor(request: MergedRelayRequest, response: ServerResponse, options: RelayOptions) {
    this.#request = request;
    this.#call = leafCallTemplate(request);
    this.#response = response;
    this.#options = options;
  }

  start(): void {
    let latencyMs = 0;
    for (const service of this.#request.services) {
      latencyMs = Math.max(latencyMs, this.#callLeaf(service));
    }
    this.#reportFailures();
    const firstFrameMs = Math.min(
      this.#request.waitLimitMs,
      latencyMs * FIRST_FRAME_LATENCY_FACTOR + FIRST_FRAME_MARGIN_MS,
    );
    // Reads what has already arrived first, as this process may have been stalled.
    this.#timer = setTimeout(() => setImmediate(() => this.#sendFirstFrame()), firstFrameMs);
    this.#endIfDone();
  }

  stop(): void {
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    for (const call of this.#open) {
      call.abandon();
    }
  }

  /** Calls a local leaf; returns its typical latency in milliseconds, or 0 if none is available. */
  #callLeaf(service: string): number {
    const { access, calls, distance, leafs, nowMs, eventLoopIdleMs } = this.#options;
    const local = (leafs().byService.get(service) ?? []).filter((leaf) => {
      return (
        distance(leaf) !== "remote" &&
        access.blockReasonForLeaf(leaf, this.#call.acceptedRoute) === undefined
      );
    });
    const now = nowMs();
    const maxQueueMs = this.#request.waitLimitMs * MAX_QUEUE_FACTOR;
    const available = local.filter((leaf) => {
      const health = calls.health(leaf.leafId) ?? INITIAL_LEAF_HEALTH;
      const hasShortQueue = !isFull(health, leaf) || queueMs(leaf, health, now) <= maxQueueMs;
      return (
        hasShortQueue && isAvailable(health, { nowMs: now, eventLoopIdleMs: eventLoopIdleMs() })
      );
    });
    const chosen = choosePreferred(available, access.preferredVersion?.(service), {
      nowMs: now,
      eventLoopIdleMs: eventLoopIdleMs(),
      health: (leafId) => calls.health(leafId),
      distance,
      isCold: (leafId) => access.isCold(leafId),
      excluded: NO_LEAF_IDS,
    });
    if (chosen === undefined) {
      this.#failed.set(service, "declined");
      return 0;
    }
    this.#queuesMs.push(chosen.queueMs);
    const { leftMs } = this.#request;
    this.#openCount += 1;
    const open = calls.send(
      { ...this.#call, leaf: chosen.leaf, deadlineAtMs: now + leftMs, isFirst: true },
      (outcome) => {
        this.#openCount -= 1;
        this.#open.delete(open);
        this.#onOutcome(service, outcome);
      },
    );
    this.#open.add(open);
    return chosen.typicalLatencyMs;
  }

  #onOutcome(service: string, outcome: AttemptOutcome): void {
    const reason = failedPartOf(outcome);
    if (reason !== undefined) {
      this.#failed.set(service, reason);
      this.#reportFailures();
    } else if (outcome.kind === "answered") {
      const { signature, body } = outcome.answer;
      this.#pendingParts.push({ service, signature, body });
    }
    if (this.#hasFlushed) {
      this.#scheduleFlush();
    }
    this.#endIfDone();
  }

  /** Sends the pending parts once all input that is available now has been read. */
  #scheduleFlush(): void {
    if (this.#isFlushScheduled) {
      return;
    }
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  /** Reports failures immediately, so that the requesting box can call other leafs. */
  #reportFailures(): void {
    if (this.#failed.size > 0) {
      this.#sendFrame([]);
    }
  }

  /**
   * Sends a frame even without parts, so that the requesting box knows that the connection is
   * alive.
   */
  #sendFirstFrame(): void {
    if (this.#hasEnded) {
      return;
    }
    if (this.#pendingParts.length === 0 && !this.#response.destroyed) {
      this.#response.write(EMPTY_FRAME);
    }
    this.#flush();
  }

  #flush(): void {
    this.#hasFlushed = true;
    const parts = this.#pendingParts;
    this.#pendingParts = [];
    this.#sendFrame(parts);
  }

  #sendFrame(parts: ReadonlyArray<LocalPart>): void {
    if (parts.length + this.#failed.size === 0 || this.#response.destroyed) {
      return;
    }
    this.#options.onParts(parts.length);
    const failed = this.#failed;
    this.#failed = new Map();
    const signatures = new Map(parts.map(({ service, signature }) => [service, signature]));
    const records = this.#newRecords(parts.map(({ body }) => body));
    const queueMs = this.#takeMedianQueueMs();
    this.#response.write(
      encodeRelayFrame({ signatures, records, failed, queueMs }, this.#request.services),
    );
  }

  /** Returns the median queueing delay in milliseconds, and resets it to 0. */
  #takeMedianQueueMs(): number {
    const queues = this.#queuesMs.sort((a, b) => a - b);
    this.#queuesMs = [];
    return Math.round(queues[Math.floor(queues.length / 2)] ?? 0);
  }

  /** Returns the top records that have not been sent yet. */
  #newRecords(bodies: ReadonlyArray<Buffer>): Buffer {
    const { topRecords } = this.#request;
    const all = [this.#sentRecords, ...bodies];
    const minRecord = recordThreshold(all, { topRecords });
    const records = mergeRecords(bodies, { topRecords, minRecord });
    this.#sentRecords = mergeRecords(all, { topRecords });
    return records;
  }

  #endIfDone(): void {
    if (this.#openCount === 0) {
      this.#hasEnded = true;
      clearTimeout(this.#timer);
      this.#flush();
      this.#response.end();
    }
  }
}

const NO_LEAF_IDS: ReadonlySet<string> = new Set();

const EMPTY_FRAME = encodeRelayFrame(
  { signatures: new Map(), records: Buffer.alloc(0), failed: new Map() },
  [],
);

function isAvailable(
  health: LeafHealth,
  { nowMs, eventLoopIdleMs }: { readonly nowMs: number; readonly eventLoopIdleMs: number },
): boolean {
  return health.avoidUntilMs <= nowMs && !isUnresponsive(health, eventLoopIdleMs);
}
