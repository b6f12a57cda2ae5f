/**
 * Admission: a query is run, refused at once or looked up under its ticket.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import { andThen, countOne, logInfo, logWarn, step, type TelemetryEffect } from "../core/mod.js";
import { ANSWER_MARGIN_MS, type QueryAnswer, type QueryRequest } from "../model/mod.js";
import type { PolicyDecision } from "../policy/mod.js";
import { pinSnapshot } from "../query/mod.js";
import {
  checkTicket,
  recordRunning,
  type TicketDecision,
  type TicketPosition,
} from "../tickets/mod.js";
import { refusal, unknownOutcome } from "./answers.js";
import type { EntryEffect, EntryEvent } from "./entry_messages.js";
import type { EntryState, EntryStep, Query } from "./entry_state.js";
import { judge } from "./judge_query.js";
import { takeIn } from "./start_queue.js";
import { findTwin, nameQuery } from "./twins.js";

type Arrival = Extract<EntryEvent, { readonly kind: "queryArrived" }>;

/**
 * Takes in a query from a caller or from another entry.
 *
 * @param state - The entry's state.
 * @param arrival - The query.
 * @returns The step.
 */
export function admitQuery(state: EntryState, arrival: Arrival): EntryStep {
  const { ticket, sequence } = arrival.request;
  if (ticket === undefined || sequence === undefined) {
    return runOrRefuse(state, arrival, undefined);
  }
  const place = { ticket, sequence };
  const verdict = checkTicket(state.tickets, place, { nowMs: arrival.nowMs });
  const handler = VERDICT_HANDLERS[verdict.kind];
  return handler(state, arrival, { verdict: verdict as never, place });
}

interface VerdictContext<Verdict> {
  readonly verdict: Verdict;
  readonly place: TicketPosition;
}

type VerdictHandlers = {
  readonly [K in TicketDecision["kind"]]: (
    state: EntryState,
    arrival: Arrival,
    context: VerdictContext<Extract<TicketDecision, { readonly kind: K }>>,
  ) => EntryStep;
};

const VERDICT_HANDLERS: VerdictHandlers = {
  run: (state, arrival, { place }) => runOrRefuse(state, arrival, place),
  join: (state, arrival, { verdict }) => joinRepeat(state, arrival, verdict.queryId),
  replay: (state, { queryId }, { verdict }) =>
    step<EntryState, EntryEffect>(state, { kind: "answer", queryId, answer: verdict.answer }),
  elsewhere: (state, arrival, { verdict }) => passOn(state, arrival, verdict.incarnation),
  cannotTell: (state, { queryId, nowMs }, { verdict }) =>
    step<EntryState, EntryEffect>(state, {
      kind: "answer",
      queryId,
      answer: unknownOutcome(state, nowMs, verdict.message),
    }),
};

function joinQuery(state: EntryState, queryId: string, runningId: string): EntryStep {
  const running = state.queries.get(runningId);
  if (running === undefined) {
    return step(state);
  }
  const joinedQueryIds = [...running.joinedQueryIds, queryId];
  const joined = { ...running, joinedQueryIds };
  return step({ ...state, queries: state.queries.set(runningId, joined) });
}

/** A repeat waits for the first one's answer, but no longer than its own deadline. */
function joinRepeat(state: EntryState, arrival: Arrival, runningId: string): EntryStep {
  const { queryId, request, nowMs } = arrival;
  const deadlineAtMs = deadlineOf(request, nowMs);
  const joined = joinQuery(state, queryId, runningId);
  const isFirst = deadlineAtMs < (state.queries.get(runningId)?.deadlineAtMs ?? 0);
  return isFirst
    ? andThen(joined, (next) =>
        step<EntryState, EntryEffect>(next, {
          kind: "setTimer",
          timer: { kind: "queryDeadline", id: queryId },
          delayMs: deadlineAtMs - nowMs,
        }),
      )
    : joined;
}

/** Only the incarnation that made a ticket runs its queries; without it nobody can tell. */
function passOn(state: EntryState, arrival: Arrival, incarnation: string): EntryStep {
  const { queryId, nowMs, forwarded } = arrival;
  const member = [...state.control.membership.records.values()]
    .map((record) => record.member)
    .find((each) => each.incarnation === incarnation && each.state !== "dead");
  if (member !== undefined && !forwarded) {
    return step<EntryState, EntryEffect>(
      state,
      { kind: "forward", queryId, member },
      logInfo("ticket", `passed ${queryId} on to ${member.memberId}`),
    );
  }
  const message = "Cannot tell whether the query ran: the entry that gave the ticket is gone";
  return step<EntryState, EntryEffect>(
    state,
    { kind: "answer", queryId, answer: unknownOutcome(state, nowMs, message) },
    logWarn("ticket", `cannot tell of ${queryId}`, { incarnation }),
  );
}

function runOrRefuse(
  state: EntryState,
  arrival: Arrival,
  ticketPlace: TicketPosition | undefined,
): EntryStep {
  const { queryId, request, nowMs } = arrival;
  const verdict = judge(state, request, nowMs);
  if (verdict.kind === "refuse") {
    const answer = refusal(verdict.state, nowMs, verdict.plain);
    return refuseStep(verdict.state, arrival, answer);
  }
  const { plan } = verdict;
  const query: Query = {
    queryId,
    request,
    bodyJson: JSON.stringify(request.body),
    revision: plan.service.revision,
    arrivedAtMs: nowMs,
    startedAtMs: 0,
    deadlineAtMs: deadlineOf(request, nowMs),
    finishCoverage: plan.decision.finishCoverage,
    retries: plan.decision.retries,
    placement: plan.decision.placement,
    group: pinSnapshot(plan.snapshot),
    earlierGroup: undefined,
    fetchIds: ImmutableMap(),
    retryAfterMs: 0,
    mayHaveRun: false,
    ticketPlace,
    joinKey: "",
    joinHash: 0,
    joinedQueryIds: [],
  };
  const twin = findTwin(verdict.state, query);
  if (twin !== undefined) {
    return step<EntryState, EntryEffect>(
      joinQuery(verdict.state, queryId, twin).state,
      logInfo("placement", `joined ${queryId} to ${twin}`),
      countOne("queries.joined", { service: request.service }),
    );
  }
  const tickets =
    ticketPlace === undefined
      ? verdict.state.tickets
      : recordRunning(verdict.state.tickets, ticketPlace, queryId);
  const told = step<EntryState, EntryEffect>(
    { ...verdict.state, tickets },
    ...policyFailures(request, plan.decision),
  );
  return andThen(told, (next) => takeIn(next, nameQuery(query), nowMs));
}

/** The answer is written a little before the caller's deadline. */
function deadlineOf({ deadlineMs }: QueryRequest, nowMs: number): number {
  return nowMs + Math.max(1, deadlineMs - ANSWER_MARGIN_MS);
}

function policyFailures(
  { service }: QueryRequest,
  { failures }: PolicyDecision,
): ReadonlyArray<TelemetryEffect> {
  return failures.flatMap(({ policy, message }) => [
    logWarn("policy", `${policy} of ${service} failed, used the default`, { error: message }),
    countOne("policy.failed", { service, policy }),
  ]);
}

function refuseStep(
  state: EntryState,
  { queryId, request }: Arrival,
  answer: QueryAnswer,
): EntryStep {
  return step<EntryState, EntryEffect>(
    state,
    { kind: "answer", queryId, answer },
    logInfo("admission", `refused ${queryId} as not run`, {
      service: request.service,
      caller: request.caller,
      why: answer.message,
      retryAfterMs: answer.retryAfterMs,
    }),
    countOne("queries.refused", { service: request.service, status: String(answer.statusCode) }),
  );
}
