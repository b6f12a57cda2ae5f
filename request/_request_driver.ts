/**
 * Drives one request through the core, for its tests.
 *
 * @module
 */
import type { ExtraCallKind } from "../limits/mod.js";
import type { CallPermission } from "../quarantine/mod.js";
import type { Route } from "../routing/mod.js";
import { newRequest, stepRequest } from "./request_core.js";
import type {
  AttemptOutcome,
  LeafAnswer,
  RequestContext,
  RequestEffect,
  RequestEvent,
  RequestState,
} from "./request_state.js";

export const GATHER: Route = {
  name: "sweep",
  host: "h",
  prefix: "/a/",
  repeatable: true,
  timeoutMs: 1_000,
  aimMs: 100,
  priorityRank: 0,
  maxAttempts: 2,
  homes: [],
  target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 0.5 },
};

export const GATHER_MANY: Route = {
  ...GATHER,
  target: { kind: "gather", shards: ["s1", "s2", "s3", "s4"], topRecords: 2, leastShare: 0.5 },
};

export const SINGLE: Route = {
  ...GATHER,
  target: { kind: "single", services: [{ service: "s1", weight: 1 }] },
};

export const NON_REPEATABLE: Route = { ...SINGLE, repeatable: false };

/** What a driven request meets. */
export interface RequestDriverOptions {
  readonly extraCalls?: number;
  readonly remote?: boolean;
  /** Ends of the leafs' ids that lie in another region; "a" by default. */
  readonly remoteLeafs?: ReadonlyArray<string>;
  readonly finishShare?: number;
  /** Expected wait at each service's leafs, in milliseconds; none by default. */
  readonly queueMs?: Readonly<Record<string, number>>;
  /** How the first call may go; freely by default. */
  readonly calling?: CallPermission;
  /** Share of calls to each service's leafs that come to nothing; none by default. */
  readonly failureRate?: Readonly<Record<string, number>>;
  /** Told what each extra call is paid as. */
  readonly onExtraCall?: (kind: ExtraCallKind) => void;
  /** Whether queues stand; true by default. */
  readonly persistentQueues?: boolean;
  /** Services that have no leaf. */
  readonly withoutLeafs?: ReadonlyArray<string>;
}

/** Drives one request: leafs are `<service>-a` and `<service>-b`, extra calls as many as told. */
export class RequestDriver {
  state: RequestState;
  effects: ReadonlyArray<RequestEffect> = [];
  nowMs = 0;
  /** The box's own clock; the same moment by default. */
  eventLoopIdleMs: number | undefined;
  extraCalls: number;
  readonly relayedLeafs: ReadonlyArray<string>;
  readonly withoutLeafs: ReadonlyArray<string>;
  readonly queueMs: Readonly<Record<string, number>>;
  readonly failureRate: Readonly<Record<string, number>>;
  readonly onExtraCall: (kind: ExtraCallKind) => void;
  leafs: ReadonlyArray<string> = ["a", "b"];
  /** Whether queues stand. */
  readonly persistentQueues: boolean;
  /** Whether another region has a box to rely on. */
  hasBox = true;
  /** How the next call may go; once a trial has begun, not before the test says so. */
  calling: CallPermission;

  constructor(route: Route, options: RequestDriverOptions = {}) {
    const {
      extraCalls = 10,
      remote: far = false,
      remoteLeafs: relayedLeafs = far ? ["a"] : [],
      finishShare = 1,
    } = options;
    this.withoutLeafs = options.withoutLeafs ?? [];
    this.queueMs = options.queueMs ?? {};
    this.failureRate = options.failureRate ?? {};
    this.extraCalls = extraCalls;
    this.persistentQueues = options.persistentQueues ?? true;
    this.calling = options.calling ?? "unrestricted";
    this.onExtraCall = options.onExtraCall ?? (() => undefined);
    this.relayedLeafs = relayedLeafs;
    const terms = {
      requestId: "r",
      route,
      arrivedAtMs: 0,
      deadlineAtMs: 1_000,
      objectiveAtMs: 100,
      maxAttempts: route.maxAttempts,
      maxQueueMs: 50,
      finishShare,
    };
    const { target } = route;
    this.state = newRequest(terms, target.kind === "gather" ? target.shards : ["s1"]);
    this.dispatch({ kind: "started" });
  }

  dispatch(event: RequestEvent): ReadonlyArray<RequestEffect> {
    const world: RequestContext = {
      nowMs: this.nowMs,
      eventLoopIdleMs: this.eventLoopIdleMs ?? this.nowMs,
      chooseLeaf: (service, excluded) => {
        const leafs = this.withoutLeafs.includes(service) ? [] : this.leafs;
        const leafIds = leafs.map((leaf) => `${service}-${leaf}`);
        const leafId = leafIds.find((each) => !excluded.has(each));
        const isFar = this.relayedLeafs.some((end) => leafId?.endsWith(`-${end}`));
        const relayPlace = isFar ? "south" : undefined;
        const queueMs = this.queueMs[service] ?? 0;
        const lossShare = this.failureRate[service] ?? 0;
        return leafId === undefined
          ? undefined
          : { leafId, expectedMs: 5, relayPlace, queueMs, failureRate: lossShare };
      },
      chooseBox: (region) => {
        return this.hasBox ? { box: `box in ${region}`, expectedMs: 5 } : undefined;
      },
      noteQueue: (_index, queueMs) => (this.persistentQueues ? queueMs : 0),
      extraCallsLeft: () => this.extraCalls,
      calling: () => this.calling,
      beginTrial: () => {
        this.calling = "deferred";
      },
      blockedForMs: () => 700,
      takeExtraCall: (_service, kind) => {
        this.onExtraCall(kind);
        this.extraCalls -= 1;
        return this.extraCalls >= 0;
      },
    };
    const next = stepRequest(this.state, event, world);
    this.state = next.state;
    this.effects = next.effects;
    return next.effects;
  }

  endAttempt(attemptId: number, outcome: AttemptOutcome): ReadonlyArray<RequestEffect> {
    return this.dispatch({ kind: "attemptEnded", attemptId, outcome });
  }
}

export function answered(statusCode: number, signature: string, first = 1): AttemptOutcome {
  return { kind: "answered", answer: leafAnswer(statusCode, signature, first) };
}

export function leafAnswer(statusCode: number, signature: string, first: number): LeafAnswer {
  return { statusCode, headers: {}, signature, body: Buffer.alloc(16, first) };
}

export function calledLeafIds(effects: ReadonlyArray<RequestEffect>): ReadonlyArray<string> {
  return effects.flatMap((effect) => (effect.kind === "call" ? [effect.leafId] : []));
}

export function replyOf(effects: ReadonlyArray<RequestEffect>) {
  return effects.flatMap((effect) => (effect.kind === "reply" ? [effect.reply] : []))[0];
}
