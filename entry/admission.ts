/**
 * Admission: runs a query, refuses it immediately or looks up its outcome by ticket.
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
import { decideAdmission } from "./admission_decision.js";
import { refusalAnswer, unknownAnswer } from "./answers.js";
import type { EntryEffect, EntryEvent } from "./entry_messages.js";
import type { EntryState, EntryStep, Query } from "./entry_state.js";
import { findIdenticalQuery, withJoinKey } from "./identical_queries.js";
import { startOrEnqueue } from "./start_queue.js";

type Arrival = Extract<EntryEvent, { readonly kind: "queryArrived" }>;

/**
 * Admits a query from a caller or from another entry.
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
  const position = { ticket, sequence };
  const decision = checkTicket(state.tickets, position, { nowMs: arrival.nowMs });
  const handler = TICKET_HANDLERS[decision.kind];
  return handler(state, arrival, { decision: decision as never, position });
}

interface TicketContext<Decision> {
  readonly decision: Decision;
  readonly position: TicketPosition;
}

type TicketHandlers = {
  readonly [K in TicketDecision["kind"]]: (
    state: EntryState,
    arrival: Arrival,
    context: TicketContext<Extract<TicketDecision, { readonly kind: K }>>,
  ) => EntryStep;
};

const TICKET_HANDLERS: TicketHandlers = {
  run: (state, arrival, { position }) => runOrRefuse(state, arrival, position),
  join: (state, arrival, { decision }) => joinRepeat(state, arrival, decision.queryId),
  replay: (state, { queryId }, { decision }) =>
    step<EntryState, EntryEffect>(state, { kind: "answer", queryId, answer: decision.answer }),
  elsewhere: (state, arrival, { decision }) =>
    forwardToIssuer(state, arrival, decision.incarnation),
  cannotTell: (state, { queryId, nowMs }, { decision }) =>
    step<EntryState, EntryEffect>(state, {
      kind: "answer",
      queryId,
      answer: unknownAnswer(state, nowMs, decision.message),
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

/** A repeat waits for the answer of the running query, until its own deadline at the latest. */
function joinRepeat(state: EntryState, arrival: Arrival, runningId: string): EntryStep {
  const { queryId, request, nowMs } = arrival;
  const deadlineAtMs = deadlineOf(request, nowMs);
  const joined = joinQuery(state, queryId, runningId);
  const endsEarlier = deadlineAtMs < (state.queries.get(runningId)?.deadlineAtMs ?? 0);
  return endsEarlier
    ? andThen(joined, (next) =>
        step<EntryState, EntryEffect>(next, {
          kind: "setTimer",
          timer: { kind: "queryDeadline", id: queryId },
          delayMs: deadlineAtMs - nowMs,
        }),
      )
    : joined;
}

/**
 * Only the incarnation that issued a ticket runs its queries; without it the outcome is unknown.
 */
function forwardToIssuer(state: EntryState, arrival: Arrival, incarnation: string): EntryStep {
  const { queryId, nowMs, forwarded } = arrival;
  const member = [...state.control.membership.records.values()]
    .map((record) => record.member)
    .find((each) => each.incarnation === incarnation && each.state !== "dead");
  if (member !== undefined && !forwarded) {
    return step<EntryState, EntryEffect>(
      state,
      { kind: "forward", queryId, member },
      logInfo("ticket", `forwarded ${queryId} to ${member.memberId}`),
    );
  }
  const message = "Cannot tell whether the query ran: the entry that gave the ticket is gone";
  return step<EntryState, EntryEffect>(
    state,
    { kind: "answer", queryId, answer: unknownAnswer(state, nowMs, message) },
    logWarn("ticket", `outcome of ${queryId} is unknown`, { incarnation }),
  );
}

function runOrRefuse(
  state: EntryState,
  arrival: Arrival,
  ticketPosition: TicketPosition | undefined,
): EntryStep {
  const { queryId, request, nowMs } = arrival;
  const admission = decideAdmission(state, request, nowMs);
  if (admission.kind === "refuse") {
    const answer = refusalAnswer(admission.state, nowMs, admission.plain);
    return refuseStep(admission.state, arrival, answer);
  }
  const { plan } = admission;
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
    ticketPosition,
    joinKey: "",
    joinHash: 0,
    joinedQueryIds: [],
  };
  const identicalId = findIdenticalQuery(admission.state, query);
  if (identicalId !== undefined) {
    return step<EntryState, EntryEffect>(
      joinQuery(admission.state, queryId, identicalId).state,
      logInfo("placement", `joined ${queryId} to ${identicalId}`),
      countOne("queries.joined", { service: request.service }),
    );
  }
  const tickets =
    ticketPosition === undefined
      ? admission.state.tickets
      : recordRunning(admission.state.tickets, ticketPosition, queryId);
  const recorded = step<EntryState, EntryEffect>(
    { ...admission.state, tickets },
    ...policyFailures(request, plan.decision),
  );
  return andThen(recorded, (next) => startOrEnqueue(next, withJoinKey(query), nowMs));
}

/** Subtracts a margin, so that the answer reaches the caller before its deadline. */
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
