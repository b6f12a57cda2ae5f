/**
 * Calls leafs over kept connections and notes how each leaf behaves.
 *
 * @module
 */
import type { LeafAccess } from "../leaf_access/mod.js";
import {
  type CallEnd,
  INITIAL_LEAF_HEALTH,
  isSameIncarnation,
  type Leaf,
  type LeafHealth,
  recordCallEnd,
  recordCallSent,
} from "../leafs/mod.js";
import type { Quarantine } from "../quarantine/mod.js";
import type { AttemptOutcome } from "../request/mod.js";
import { ABANDONED, AnswerReader, blockedOutcome } from "./_answer_reader.js";
import type { LeafCall } from "./leaf_call.js";
import { LeafConnectionPool } from "./leaf_connection_pool.js";

/** A call under way. */
export interface OpenCall {
  /** Breaks the call off; its connection is closed with it. */
  abandon(): void;
  /** Takes the call back if nothing of it has been sent; else lets it run. */
  withdraw(): void;
}

/** What the calls need. */
export interface LeafCallsOptions {
  readonly nowMs: () => number;
  /** Tells the moment by a clock that stands still while this box is busy, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  /** Most connections of this box to a leaf of a service. */
  readonly maxConnectionsTo: (service: string) => number;
  /** Told how each call ended: a query may end the leafs that run it. */
  readonly quarantine: Pick<Quarantine, "permission" | "endTrial" | "recordAnswer" | "recordCrash">;
  /** Asked right before each call whether it may go to its leaf. */
  readonly access: Pick<LeafAccess, "blockReasonForCall" | "noteSent">;
  /** Told when a call is sent and none was open. */
  readonly onBusy?: () => void;
  /** Told how each call ended. */
  readonly onEnd: (result: CallEnd["result"]) => void;
}

/** Time after its deadline at which a call is broken off, in milliseconds. */
const OVERDUE_MS = 100;

interface OpenEntry {
  readonly fingerprint: string;
  readonly isTrial: boolean;
  readonly deadlineAtMs: number;
  readonly abandon: () => void;
  readonly withdraw: () => void;
}

/**
 * What this box has with one incarnation of a leaf. Calls keep hold of it to their end, so that one that was
 * sent to a former incarnation shows nothing of the next.
 */
interface LeafIncarnation {
  health: LeafHealth;
  line: LeafConnectionPool | undefined;
}

/** Connections to all leafs, and what was seen of them. */
export class LeafCalls {
  readonly #options: LeafCallsOptions;
  readonly #incarnations = new Map<string, LeafIncarnation>();
  /** Leafs as they were last told, by id. */
  #known: ReadonlyMap<string, Leaf> = new Map();
  readonly #open = new Map<number, OpenEntry>();
  #nextCallId = 1;

  /**
   * @param options - What the calls need.
   */
  constructor(options: LeafCallsOptions) {
    this.#options = options;
  }

  /** Calls that have not ended. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Tells what was seen of a leaf.
   *
   * @param leafId - The leaf.
   * @returns Its condition, or nothing where it was not asked yet.
   */
  health(leafId: string): LeafHealth | undefined {
    return this.#incarnations.get(leafId)?.health;
  }

  /**
   * Sends a request to a leaf.
   *
   * @param call - The request.
   * @param onEnd - Told once how it ended.
   * @returns The call under way.
   */
  send(call: LeafCall, onEnd: (outcome: AttemptOutcome) => void): OpenCall {
    const { fingerprint, isTrial } = call;
    const barrier = this.#options.access.blockReasonForCall(call);
    if (barrier !== undefined) {
      queueMicrotask(() => onEnd(blockedOutcome(barrier)));
      return { abandon: () => undefined, withdraw: () => undefined };
    }
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const waitedMs = this.#options.eventLoopIdleMs();
    const incarnation = this.#incarnationOf(call.leaf.leafId);
    incarnation.health = recordCallSent(incarnation.health, { callId, waitedMs });
    const handler = new AnswerReader(call, this.#options, ({ outcome, ...news }) => {
      this.#open.delete(callId);
      const end: CallEnd = {
        callId,
        ...this.#now(),
        result: resultOf(outcome),
        ...news,
        slots: call.leaf.slots,
      };
      incarnation.health = recordCallEnd(incarnation.health, end);
      this.#options.onEnd(end.result);
      this.#noteForQuery(call, outcome);
      onEnd(outcome);
    });
    const abandon = (): void => handler.abandon();
    const withdraw = (): void => handler.withdraw();
    if (this.#open.size === 0) {
      this.#options.onBusy?.();
    }
    const { deadlineAtMs } = call;
    this.#open.set(callId, { fingerprint, isTrial, deadlineAtMs, abandon, withdraw });
    incarnation.line ??= this.#openLine(call.leaf);
    incarnation.line.send(handler);
    return { abandon, withdraw };
  }

  /**
   * Notes a call that another box makes for this one, so that the leaf is judged by it as well.
   *
   * @param leafId - The leaf that is expected to be asked.
   * @returns Notes how the call ended; only the first time counts.
   */
  noteRelayed(leafId: string): (result: CallEnd["result"]) => void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const waitedMs = this.#options.eventLoopIdleMs();
    const incarnation = this.#incarnationOf(leafId);
    incarnation.health = recordCallSent(incarnation.health, { callId, waitedMs });
    let isNoted = false;
    return (result) => {
      if (!isNoted) {
        isNoted = true;
        const end = { callId, ...this.#now(), result };
        incarnation.health = recordCallEnd(incarnation.health, end);
      }
    };
  }

  /**
   * Takes back the calls of a query that wait for a connection, as leafs were lost under it meanwhile. Those
   * that were asked alone stay, unless the query is to go to no leaf at all.
   *
   * @param fingerprint - The query.
   */
  withdrawBlocked(fingerprint: string): void {
    const isHeld = this.#options.quarantine.permission(fingerprint) === "blocked";
    for (const { isTrial, withdraw, ...open } of [...this.#open.values()]) {
      if (open.fingerprint === fingerprint && (isHeld || !isTrial)) {
        withdraw();
      }
    }
  }

  /** Breaks off the calls whose deadline has passed. */
  abandonOverdue(): void {
    const nowMs = this.#options.nowMs();
    for (const { deadlineAtMs, abandon } of [...this.#open.values()]) {
      if (nowMs > deadlineAtMs + OVERDUE_MS) {
        abandon();
      }
    }
  }

  /**
   * Takes in which leafs there are now. Of those that are gone or have started again all is forgotten, and
   * their connections are closed; calls under way end first.
   *
   * @param leafs - The leafs, by id.
   */
  setLeafs(leafs: ReadonlyMap<string, Leaf>): void {
    const before = this.#known;
    this.#known = leafs;
    for (const [leafId, { line }] of this.#incarnations) {
      const former = before.get(leafId);
      const leaf = leafs.get(leafId);
      const isRestarted =
        leaf !== undefined && former !== undefined && !isSameIncarnation(former, leaf);
      if (leaf === undefined || isRestarted) {
        this.#incarnations.delete(leafId);
        line?.close({ givesUpWaiting: isRestarted });
      }
    }
  }

  /** What a call's end says of its query. */
  #noteForQuery({ fingerprint, isTrial }: LeafCall, outcome: AttemptOutcome): void {
    const { quarantine } = this.#options;
    if (isTrial) {
      quarantine.endTrial(fingerprint);
    }
    if (outcome.kind === "answered") {
      quarantine.recordAnswer(fingerprint);
    } else if (outcome.kind === "failed" && outcome.connectionClosed === true) {
      quarantine.recordCrash({ fingerprint, isTrial });
    }
  }

  #now(): Pick<CallEnd, "nowMs" | "eventLoopIdleMs"> {
    return { nowMs: this.#options.nowMs(), eventLoopIdleMs: this.#options.eventLoopIdleMs() };
  }

  #incarnationOf(leafId: string): LeafIncarnation {
    const held = this.#incarnations.get(leafId);
    if (held !== undefined) {
      return held;
    }
    const incarnation: LeafIncarnation = { health: INITIAL_LEAF_HEALTH, line: undefined };
    this.#incarnations.set(leafId, incarnation);
    return incarnation;
  }

  #openLine({ service, address, port, slots }: Leaf): LeafConnectionPool {
    const { maxConnectionsTo: connectionsTo, nowMs } = this.#options;
    const mostConnections = (): number => connectionsTo(service);
    return new LeafConnectionPool(
      { address, port },
      { slots, nowMs, maxConnections: mostConnections },
    );
  }
}

const RESULTS: {
  readonly [K in AttemptOutcome["kind"]]: (
    outcome: Extract<AttemptOutcome, { readonly kind: K }>,
  ) => CallEnd["result"];
} = {
  answered: ({ answer }) => (answer.statusCode < 500 ? "answered" : "failed"),
  refused: ({ reason }) => reason,
  failed: ({ blockReason: barrier, reason }) => {
    return reason === ABANDONED || barrier !== undefined ? "abandoned" : "failed";
  },
};

function resultOf(outcome: AttemptOutcome): CallEnd["result"] {
  return (RESULTS[outcome.kind] as (outcome: AttemptOutcome) => CallEnd["result"])(outcome);
}
