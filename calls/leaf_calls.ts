/**
 * Calls leafs over persistent connections and records how each leaf behaves.
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
import { AnswerReader, blockedOutcome } from "./_answer_reader.js";
import { LongAnswers } from "./_long_answers.js";
import { ABANDONED } from "./_version_result.js";
import type { LeafCall } from "./leaf_call.js";
import { LeafConnectionPool } from "./leaf_connection_pool.js";

/** A call in progress. */
export interface OpenCall {
  /** Aborts the call and closes its connection. */
  abandon(): void;
  /** Cancels the call if nothing of it has been sent; otherwise it continues. */
  withdraw(): void;
}

/** Dependencies of the calls. */
export interface LeafCallsOptions {
  readonly nowMs: () => number;
  /** Returns the event-loop idle time, in milliseconds. */
  readonly eventLoopIdleMs: () => number;
  /** Maximum number of connections from this box to a leaf of a service. */
  readonly maxConnectionsTo: (service: string) => number;
  /** Receives the outcome of each call, as a query may crash the leafs that run it. */
  readonly quarantine: Pick<Quarantine, "permission" | "endTrial" | "recordAnswer" | "recordCrash">;
  /** Checked right before each call is sent. */
  readonly access: Pick<LeafAccess, "blockReasonForCall" | "recordCallSent">;
  /** Called when a call is sent while none is open. */
  readonly onBusy?: () => void;
  /** Called with the result of each call. */
  readonly onEnd: (result: CallEnd["result"]) => void;
}

/** Time after its deadline at which a call is aborted, in milliseconds. */
const OVERDUE_MS = 100;

interface OpenEntry {
  readonly fingerprint: string;
  readonly isTrial: boolean;
  readonly deadlineAtMs: number;
  readonly abandon: () => void;
  readonly withdraw: () => void;
}

/**
 * State of one incarnation of a leaf. Calls refer to it until they end, so that a call to a former
 * incarnation does not affect the next one.
 */
interface LeafIncarnation {
  health: LeafHealth;
  pool: LeafConnectionPool | undefined;
}

/** Connections to all leafs, and their observed health. */
export class LeafCalls {
  readonly #options: LeafCallsOptions & { readonly longAnswers: LongAnswers };
  readonly #incarnations = new Map<string, LeafIncarnation>();
  /** The current leafs, by id. */
  #leafs: ReadonlyMap<string, Leaf> = new Map();
  readonly #open = new Map<number, OpenEntry>();
  #nextCallId = 1;

  /**
   * @param options - Dependencies of the calls.
   */
  constructor(options: LeafCallsOptions) {
    this.#options = { ...options, longAnswers: new LongAnswers() };
  }

  /** Number of calls in progress. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Returns the observed health of a leaf.
   *
   * @param leafId - The leaf.
   * @returns Its health, or `undefined` if it has not been called yet.
   */
  health(leafId: string): LeafHealth | undefined {
    return this.#incarnations.get(leafId)?.health;
  }

  /**
   * Sends a request to a leaf.
   *
   * @param call - The request.
   * @param onEnd - Called once with the outcome.
   * @returns The call in progress.
   */
  send(call: LeafCall, onEnd: (outcome: AttemptOutcome) => void): OpenCall {
    const { fingerprint, isTrial } = call;
    const blockReason = this.#options.access.blockReasonForCall(call);
    if (blockReason !== undefined) {
      queueMicrotask(() => onEnd(blockedOutcome(blockReason)));
      return { abandon: () => undefined, withdraw: () => undefined };
    }
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const eventLoopIdleMs = this.#options.eventLoopIdleMs();
    const incarnation = this.#incarnationOf(call.leaf.leafId);
    incarnation.health = recordCallSent(incarnation.health, { callId, eventLoopIdleMs });
    const handler = new AnswerReader(call, this.#options, ({ outcome, ...loadReport }) => {
      this.#open.delete(callId);
      const end: CallEnd = {
        callId,
        ...this.#times(),
        result: resultOf(outcome),
        ...loadReport,
        slots: call.leaf.slots,
      };
      incarnation.health = recordCallEnd(incarnation.health, end);
      this.#options.onEnd(end.result);
      this.#notifyQuarantine(call, outcome);
      onEnd(outcome);
    });
    const abandon = (): void => handler.abandon();
    const withdraw = (): void => handler.withdraw();
    if (this.#open.size === 0) {
      this.#options.onBusy?.();
    }
    const { deadlineAtMs } = call;
    this.#open.set(callId, { fingerprint, isTrial, deadlineAtMs, abandon, withdraw });
    incarnation.pool ??= this.#openPool(call.leaf);
    incarnation.pool.send(handler);
    return { abandon, withdraw };
  }

  /**
   * Records a call that another box makes on behalf of this one, so that it counts towards the
   * leaf's health.
   *
   * @param leafId - The leaf that is expected to be called.
   * @returns A function that records the result; only its first call has an effect.
   */
  recordRelayedCall(leafId: string): (result: CallEnd["result"]) => void {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    const eventLoopIdleMs = this.#options.eventLoopIdleMs();
    const incarnation = this.#incarnationOf(leafId);
    incarnation.health = recordCallSent(incarnation.health, { callId, eventLoopIdleMs });
    let hasEnded = false;
    return (result) => {
      if (!hasEnded) {
        hasEnded = true;
        const end = { callId, ...this.#times(), result };
        incarnation.health = recordCallEnd(incarnation.health, end);
      }
    };
  }

  /**
   * Withdraws the calls of a query that wait for a connection, after the query has crashed a leaf.
   * Trial calls stay unless the query is blocked completely.
   *
   * @param fingerprint - The query.
   */
  withdrawBlocked(fingerprint: string): void {
    const isBlocked = this.#options.quarantine.permission(fingerprint) === "blocked";
    for (const { isTrial, withdraw, ...open } of [...this.#open.values()]) {
      if (open.fingerprint === fingerprint && (isBlocked || !isTrial)) {
        withdraw();
      }
    }
  }

  /** Aborts the calls whose deadline has passed. */
  abandonOverdue(): void {
    const nowMs = this.#options.nowMs();
    for (const { deadlineAtMs, abandon } of [...this.#open.values()]) {
      if (nowMs > deadlineAtMs + OVERDUE_MS) {
        abandon();
      }
    }
  }

  /** Aborts all calls because the box stops, so that the end of each is recorded. */
  abandonAll(): void {
    for (const { abandon } of [...this.#open.values()]) {
      abandon();
    }
  }

  /**
   * Replaces the known leafs. The state of leafs that were removed or restarted is discarded, and
   * their connections are closed once their calls have ended. Calls that wait for a connection to a
   * leaf that restarted fail unsent. So do those to a leaf that drains or was removed, if another
   * leaf of its service can be called in its place.
   *
   * @param leafs - The leafs, by id.
   */
  setLeafs(leafs: ReadonlyMap<string, Leaf>): void {
    const formerLeafs = this.#leafs;
    this.#leafs = leafs;
    const serving = servicesWithServingLeaf(leafs);
    for (const [leafId, { pool }] of this.#incarnations) {
      const former = formerLeafs.get(leafId);
      const leaf = leafs.get(leafId);
      const isRestarted =
        leaf !== undefined && former !== undefined && !isSameIncarnation(former, leaf);
      const isReplaceable = serving.has((leaf ?? former)?.service ?? "");
      if (leaf === undefined || isRestarted) {
        this.#incarnations.delete(leafId);
        pool?.close({ failPending: isRestarted || isReplaceable });
      } else if (leaf.draining && isReplaceable) {
        pool?.failPending();
      }
    }
  }

  /** Reports the outcome of a call to the quarantine. */
  #notifyQuarantine({ fingerprint, isTrial }: LeafCall, outcome: AttemptOutcome): void {
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

  #times(): Pick<CallEnd, "nowMs" | "eventLoopIdleMs"> {
    return { nowMs: this.#options.nowMs(), eventLoopIdleMs: this.#options.eventLoopIdleMs() };
  }

  #incarnationOf(leafId: string): LeafIncarnation {
    const known = this.#incarnations.get(leafId);
    if (known !== undefined) {
      return known;
    }
    const incarnation: LeafIncarnation = { health: INITIAL_LEAF_HEALTH, pool: undefined };
    this.#incarnations.set(leafId, incarnation);
    return incarnation;
  }

  #openPool({ service, address, port, slots }: Leaf): LeafConnectionPool {
    const { maxConnectionsTo, nowMs } = this.#options;
    const maxConnections = (): number => maxConnectionsTo(service);
    return new LeafConnectionPool({ address, port }, { slots, nowMs, maxConnections });
  }
}

/** Services with a leaf that does not drain. */
function servicesWithServingLeaf(leafs: ReadonlyMap<string, Leaf>): ReadonlySet<string> {
  const services = new Set<string>();
  for (const { draining, service } of leafs.values()) {
    if (!draining) {
      services.add(service);
    }
  }
  return services;
}

const RESULTS: {
  readonly [K in AttemptOutcome["kind"]]: (
    outcome: Extract<AttemptOutcome, { readonly kind: K }>,
  ) => CallEnd["result"];
} = {
  answered: ({ answer }) => (answer.statusCode < 500 ? "answered" : "failed"),
  refused: ({ reason }) => reason,
  failed: ({ blockReason, reason }) => {
    return reason === ABANDONED || blockReason !== undefined ? "abandoned" : "failed";
  },
};

function resultOf(outcome: AttemptOutcome): CallEnd["result"] {
  return (RESULTS[outcome.kind] as (outcome: AttemptOutcome) => CallEnd["result"])(outcome);
}
