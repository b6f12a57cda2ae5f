/**
 * Drives one request through the request core, for tests.
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

/** Environment of a driven request. */
export interface RequestDriverOptions {
  readonly extraCalls?: number;
  readonly remote?: boolean;
  /** Suffixes of the ids of leafs in another region; "a" if `remote` is set, otherwise none. */
  readonly remoteLeafs?: ReadonlyArray<string>;
  readonly finishShare?: number;
  /** Expected queueing delay at each service's leafs, in milliseconds; 0 by default. */
  readonly queueMs?: Readonly<Record<string, number>>;
  /** How the first call may be made; unrestricted by default. */
  readonly permission?: CallPermission;
  /** Expected failure rate of calls to each service's leafs; 0 by default. */
  readonly failureRate?: Readonly<Record<string, number>>;
  /** Called with the kind of each extra call. */
  readonly onExtraCall?: (kind: ExtraCallKind) => void;
  /** Whether queues persist between queries; true by default. */
  readonly persistentQueues?: boolean;
  /** Services that have no leaf. */
  readonly withoutLeafs?: ReadonlyArray<string>;
}

/** Drives one request. Each service has the leafs `<service>-a` and `<service>-b`. */
export class RequestDriver {
  state: RequestState;
  effects: ReadonlyArray<RequestEffect> = [];
  nowMs = 0;
  /** Event-loop idle time; `nowMs` by default. */
  eventLoopIdleMs: number | undefined;
  extraCalls: number;
  readonly remoteLeafs: ReadonlyArray<string>;
  readonly withoutLeafs: ReadonlyArray<string>;
  readonly queueMs: Readonly<Record<string, number>>;
  readonly failureRate: Readonly<Record<string, number>>;
  readonly onExtraCall: (kind: ExtraCallKind) => void;
  leafs: ReadonlyArray<string> = ["a", "b"];
  readonly persistentQueues: boolean;
  /** Whether another region has an available box. */
  hasBox = true;
  /** Whether that box is late with its first parts for some request. */
  isBoxLate = false;
  /**
   * How the next call may be made. Deferred from the start of a trial call until a test changes it.
   */
  permission: CallPermission;

  constructor(route: Route, options: RequestDriverOptions = {}) {
    const {
      extraCalls = 10,
      remote = false,
      remoteLeafs = remote ? ["a"] : [],
      finishShare = 1,
    } = options;
    this.withoutLeafs = options.withoutLeafs ?? [];
    this.queueMs = options.queueMs ?? {};
    this.failureRate = options.failureRate ?? {};
    this.extraCalls = extraCalls;
    this.persistentQueues = options.persistentQueues ?? true;
    this.permission = options.permission ?? "unrestricted";
    this.onExtraCall = options.onExtraCall ?? (() => undefined);
    this.remoteLeafs = remoteLeafs;
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
    const context: RequestContext = {
      nowMs: this.nowMs,
      eventLoopIdleMs: this.eventLoopIdleMs ?? this.nowMs,
      chooseLeaf: (service, excluded) => {
        const leafs = this.withoutLeafs.includes(service) ? [] : this.leafs;
        const leafIds = leafs.map((leaf) => `${service}-${leaf}`);
        const leafId = leafIds.find((each) => !excluded.has(each));
        const isRemote = this.remoteLeafs.some((suffix) => leafId?.endsWith(`-${suffix}`));
        const relayPlace = isRemote ? "south" : undefined;
        const queueMs = this.queueMs[service] ?? 0;
        const failureRate = this.failureRate[service] ?? 0;
        return leafId === undefined
          ? undefined
          : { leafId, expectedMs: 5, relayPlace, queueMs, failureRate };
      },
      chooseBox: (region, { excludesLate = false } = {}) => {
        const isAvailable = this.hasBox && !(excludesLate && this.isBoxLate);
        return isAvailable ? { box: `box in ${region}`, expectedMs: 5 } : undefined;
      },
      recordQueue: (_index, queueMs) => (this.persistentQueues ? queueMs : 0),
      extraCallsLeft: () => this.extraCalls,
      permission: () => this.permission,
      beginTrial: () => {
        this.permission = "deferred";
      },
      blockedForMs: () => 700,
      takeExtraCall: (_service, kind) => {
        this.onExtraCall(kind);
        this.extraCalls -= 1;
        return this.extraCalls >= 0;
      },
    };
    const next = stepRequest(this.state, event, context);
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
