/**
 * Whether a query is run or refused: phase, isolation, policies, prediction and limits, in that
 * order.
 *
 * @module
 */
import type { ServiceEntry } from "../catalog/mod.js";
import { isIsolated } from "../control/mod.js";
import { lifecyclePhase } from "../lifecycle/mod.js";
import { msUntilToken, refill } from "../limits/mod.js";
import {
  ADDRESS_LIST_TTL_MS,
  ANSWER_MARGIN_MS,
  type QueryRequest,
  type ShardMap,
  type SnapshotSpec,
} from "../model/mod.js";
import { evaluatePolicies, type PolicyDecision, policyInput } from "../policy/mod.js";
import type { PlainAnswer } from "./answers.js";
import { candidatesOf, leafKey } from "./candidates.js";
import type { EntryState } from "./entry_state.js";
import { takesCalls } from "./leaf_view.js";
import { takeServiceToken } from "./service_limit.js";
import { expectedStartMs } from "./start_queue.js";

/** Share of the shards wanted that must look able to make the deadline. */
const LIKELY_SHARE = 0.9;

interface Plan {
  readonly service: ServiceEntry;
  readonly snapshot: SnapshotSpec;
  readonly decision: PolicyDecision;
}

/**
 * Whether a query is run, and the state with what that took.
 */
export type Verdict =
  | { readonly kind: "run"; readonly state: EntryState; readonly plan: Plan }
  | { readonly kind: "refuse"; readonly state: EntryState; readonly plain: PlainAnswer };

interface PlainOptions {
  readonly retryAfterMs?: number;
  readonly revision?: number;
}

function refuse(
  state: EntryState,
  statusCode: number,
  message: string,
  { retryAfterMs = 0, revision = 0 }: PlainOptions = {},
): Verdict {
  return { kind: "refuse", state, plain: { statusCode, message, retryAfterMs, revision } };
}

/**
 * Judges a query by phase, isolation, policies, prediction and limits.
 *
 * @param state - The entry's state.
 * @param request - The query.
 * @param nowMs - The present moment.
 * @returns The verdict.
 */
export function judge(state: EntryState, request: QueryRequest, nowMs: number): Verdict {
  const phase = lifecyclePhase(state.control.lifecycle);
  if (phase !== "ready" && phase !== "leaving") {
    const message = `Cannot run the query: this entry is ${phase}`;
    return refuse(state, 503, message, { retryAfterMs: 1_000 });
  }
  if (isIsolated(state.control, nowMs)) {
    const message = "Cannot run the query: this box hears no other and not the platform";
    return refuse(state, 503, message, { retryAfterMs: ADDRESS_LIST_TTL_MS });
  }
  const service = state.control.catalog.services.get(request.service);
  if (service === undefined) {
    return refuse(state, 404, `Cannot find service "${request.service}"`);
  }
  const shardMap = state.control.catalog.shardMaps.get(request.service);
  if (shardMap === undefined) {
    const message = `Cannot run the query: service "${request.service}" has no shard map`;
    return refuse(state, 503, message, { retryAfterMs: 1_000, revision: service.revision });
  }
  return judgePolicies(state, { request, service, shardMap, nowMs });
}

interface JudgeContext {
  readonly request: QueryRequest;
  readonly service: ServiceEntry;
  readonly shardMap: ShardMap;
  readonly nowMs: number;
}

function judgePolicies(state: EntryState, context: JudgeContext): Verdict {
  const { request, service, shardMap, nowMs } = context;
  const { revision } = service;
  const input = policyInput(request, {
    inFlight: state.inFlightByService.get(request.service) ?? 0,
    availableShare: availableShare(state, service, nowMs),
  });
  const decision = evaluatePolicies(service.programs, input);
  if (decision.refusal !== "") {
    const message = `Cannot run the query: policy says ${decision.refusal}`;
    return refuse(state, 403, message, { revision });
  }
  const snapshot = shardMap.snapshots.find((each) => each.snapshot === shardMap.currentSnapshot);
  if (snapshot === undefined) {
    return refuse(state, 503, "Cannot run the query: no current snapshot", { revision });
  }
  const late = predictLate(state, { ...context, snapshot, decision });
  if (late > 0) {
    const message = "Cannot run the query: it would miss its deadline";
    return refuse(state, 503, message, { retryAfterMs: late, revision });
  }
  const byCaller = takeCallerToken(state, request, decision, nowMs);
  if (byCaller.waitMs > 0) {
    const message = `Cannot run the query: caller "${request.caller}" is over its limit`;
    return refuse(byCaller.state, 429, message, { retryAfterMs: byCaller.waitMs, revision });
  }
  const byService = takeServiceToken(byCaller.state, service, nowMs);
  if (byService.waitMs > 0) {
    const message = `Cannot run the query: service "${request.service}" is over its limit`;
    return refuse(byService.state, 429, message, { retryAfterMs: byService.waitMs, revision });
  }
  return { kind: "run", state: byService.state, plan: { service, snapshot, decision } };
}

function availableShare(state: EntryState, { config, leafs }: ServiceEntry, nowMs: number): number {
  let available = 0;
  for (const leafId of leafs.keys()) {
    const view = state.leafViews.get(leafKey(config.service, leafId));
    available += view === undefined || takesCalls(view, nowMs) ? 1 : 0;
  }
  return leafs.size === 0 ? 0 : available / leafs.size;
}

interface PredictOptions extends JudgeContext {
  readonly snapshot: SnapshotSpec;
  readonly decision: PolicyDecision;
}

/**
 * Works out by how much the query would miss its deadline; shards that no leaf holds now do not
 * count, since waiting would not bring them.
 */
function predictLate(
  state: EntryState,
  { request, snapshot, decision, nowMs }: PredictOptions,
): number {
  const budgetMs = request.deadlineMs - ANSWER_MARGIN_MS;
  const predicted = snapshot.shards
    .map(({ leafIds }) => candidatesOf(state, { service: request.service, leafIds }, nowMs))
    .filter((candidates) => candidates.length > 0)
    .map((candidates) => Math.min(...candidates.map((candidate) => candidate.predictedMs)))
    .sort((a, b) => a - b);
  const wanted = Math.min(request.wantedCoverage, decision.finishCoverage);
  const needed = Math.ceil(predicted.length * wanted * LIKELY_SHARE);
  const slowest = predicted[needed - 1] ?? 0;
  const startMs = expectedStartMs(state, request);
  return Math.ceil(Math.max(0, startMs + slowest - budgetMs));
}

interface Taken {
  readonly state: EntryState;
  /** Time until a token is there; 0 when one was taken. */
  readonly waitMs: number;
}

/** Callers keep their rate on each entry; one that spreads over entries is held by the service's. */
function takeCallerToken(
  state: EntryState,
  request: QueryRequest,
  { callerRequestsPerSecond: callerPerSecond }: PolicyDecision,
  nowMs: number,
): Taken {
  if (callerPerSecond <= 0) {
    return { state, waitMs: 0 };
  }
  const key = `${request.service} ${request.caller}`;
  const rate = { perSecond: callerPerSecond, burst: Math.max(1, callerPerSecond) };
  const held = state.callerBuckets.get(key) ?? { tokens: rate.burst, updatedAtMs: nowMs };
  const bucket = refill(held, rate, { nowMs });
  const waitMs = msUntilToken(bucket, rate);
  const left = waitMs > 0 ? bucket : { ...bucket, tokens: bucket.tokens - 1 };
  return { state: { ...state, callerBuckets: state.callerBuckets.set(key, left) }, waitMs };
}

/** Time after which a caller's bucket is full again for certain, in milliseconds. */
const CALLER_IDLE_MS = 10_000;

/**
 * Forgets callers that have been quiet, so that their number does not grow for ever.
 *
 * @param state - The entry's state.
 * @param nowMs - The present moment.
 * @returns The state after that.
 */
export function forgetCallers(state: EntryState, nowMs: number): EntryState {
  const callerBuckets = state.callerBuckets.filter((bucket) => {
    return nowMs - bucket.updatedAtMs < CALLER_IDLE_MS;
  });
  return callerBuckets.size === state.callerBuckets.size ? state : { ...state, callerBuckets };
}
