/**
 * Decides whether a query is run or refused, by phase, isolation, policies, predicted time and
 * limits, in that order.
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
import { acceptsCalls, type Candidate, hasRecentReport } from "./leaf_view.js";
import { takeServiceToken } from "./service_limit.js";
import { expectedStartMs } from "./start_queue.js";

/** Share of the wanted shards that must be predicted to meet the deadline. */
const ON_TIME_SHARE = 0.9;

interface Plan {
  readonly service: ServiceEntry;
  readonly snapshot: SnapshotSpec;
  readonly decision: PolicyDecision;
}

/** Whether a query is run, and the state after deducting its tokens. */
export type AdmissionDecision =
  | { readonly kind: "run"; readonly state: EntryState; readonly plan: Plan }
  | { readonly kind: "refuse"; readonly state: EntryState; readonly plain: PlainAnswer };

interface RefuseOptions {
  readonly retryAfterMs?: number;
  readonly revision?: number;
}

function refuse(
  state: EntryState,
  statusCode: number,
  message: string,
  { retryAfterMs = 0, revision = 0 }: RefuseOptions = {},
): AdmissionDecision {
  return { kind: "refuse", state, plain: { statusCode, message, retryAfterMs, revision } };
}

/**
 * Decides whether a query is run or refused.
 *
 * @param state - The entry's state.
 * @param request - The query.
 * @param nowMs - Current time, in milliseconds.
 * @returns The decision, and the state after deducting the query's tokens.
 */
export function decideAdmission(
  state: EntryState,
  request: QueryRequest,
  nowMs: number,
): AdmissionDecision {
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
  return decideByPolicies(state, { request, service, shardMap, nowMs });
}

interface DecisionContext {
  readonly request: QueryRequest;
  readonly service: ServiceEntry;
  readonly shardMap: ShardMap;
  readonly nowMs: number;
}

function decideByPolicies(state: EntryState, context: DecisionContext): AdmissionDecision {
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
  const latenessMs = predictLatenessMs(state, { ...context, snapshot, decision });
  if (latenessMs > 0) {
    const message = "Cannot run the query: it would miss its deadline";
    return refuse(state, 503, message, { retryAfterMs: latenessMs, revision });
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
    available += view === undefined || acceptsCalls(view, nowMs) ? 1 : 0;
  }
  return leafs.size === 0 ? 0 : available / leafs.size;
}

interface PredictOptions extends DecisionContext {
  readonly snapshot: SnapshotSpec;
  readonly decision: PolicyDecision;
}

/**
 * Predicts by how much the query would miss its deadline, in milliseconds. Shards without an
 * available leaf are left out, since waiting does not help them.
 */
function predictLatenessMs(
  state: EntryState,
  { request, snapshot, decision, nowMs }: PredictOptions,
): number {
  const budgetMs = request.deadlineMs - ANSWER_MARGIN_MS;
  const predicted = snapshot.shards
    .map(({ leafIds }) => candidatesOf(state, { service: request.service, leafIds }, nowMs))
    .filter((candidates) => candidates.length > 0)
    .map((candidates) => Math.min(...candidates.map((each) => recentlyPredictedMs(each, nowMs))))
    .sort((a, b) => a - b);
  const wanted = Math.min(request.wantedCoverage, decision.finishCoverage);
  const needed = Math.ceil(predicted.length * wanted * ON_TIME_SHARE);
  const slowest = predicted[needed - 1] ?? 0;
  const startMs = expectedStartMs(state, request);
  return Math.ceil(Math.max(0, startMs + slowest - budgetMs));
}

/** Predicted duration of a call, in milliseconds; 0 without a recent report. */
function recentlyPredictedMs({ predictedMs, view }: Candidate, nowMs: number): number {
  return hasRecentReport(view, nowMs) ? predictedMs : 0;
}

interface CallerTokenResult {
  readonly state: EntryState;
  /** Time until a token is available, in milliseconds; 0 if one was taken. */
  readonly waitMs: number;
}

/**
 * The limit applies per entry; a caller that uses several entries is bounded by the service's
 * limit.
 */
function takeCallerToken(
  state: EntryState,
  request: QueryRequest,
  { callerRequestsPerSecond }: PolicyDecision,
  nowMs: number,
): CallerTokenResult {
  if (callerRequestsPerSecond <= 0) {
    return { state, waitMs: 0 };
  }
  const key = `${request.service} ${request.caller}`;
  const rate = { perSecond: callerRequestsPerSecond, burst: Math.max(1, callerRequestsPerSecond) };
  const stored = state.callerBuckets.get(key) ?? { tokens: rate.burst, updatedAtMs: nowMs };
  const bucket = refill(stored, rate, { nowMs });
  const waitMs = msUntilToken(bucket, rate);
  const updated = waitMs > 0 ? bucket : { ...bucket, tokens: bucket.tokens - 1 };
  return { state: { ...state, callerBuckets: state.callerBuckets.set(key, updated) }, waitMs };
}

/** Time after which the bucket of an idle caller counts as full, in milliseconds. */
const CALLER_IDLE_MS = 10_000;

/**
 * Removes the buckets of idle callers, so that their number stays bounded.
 *
 * @param state - The entry's state.
 * @param nowMs - Current time, in milliseconds.
 * @returns The updated state.
 */
export function removeIdleCallers(state: EntryState, nowMs: number): EntryState {
  const callerBuckets = state.callerBuckets.filter((bucket) => {
    return nowMs - bucket.updatedAtMs < CALLER_IDLE_MS;
  });
  return callerBuckets.size === state.callerBuckets.size ? state : { ...state, callerBuckets };
}
