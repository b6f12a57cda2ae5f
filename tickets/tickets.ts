/**
 * The tickets issued by an entry and the state of the queries sent with them.
 *
 * A ticket names the incarnation of the entry that issued it. Only that incarnation runs its queries,
 * and it remembers used sequence numbers in memory only. After it has terminated, none of them can run
 * any more and their outcome is unknown. Neither leases nor writes to the platform are needed.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import { type QueryAnswer, TICKET_TTL_MS } from "../model/mod.js";

/** Number of sequence numbers remembered for each ticket. */
export const TICKET_WINDOW = 64;

/** Time for which an expired ticket is remembered, in milliseconds. */
const TICKET_GRACE_MS = 120_000;

/** State of the query with one sequence number. */
export type SequenceState =
  | { readonly kind: "running"; readonly queryId: string }
  | { readonly kind: "finished"; readonly answer: QueryAnswer };

/** State of one ticket. */
interface TicketRecord {
  readonly states: ImmutableMap<number, SequenceState>;
  readonly highestSequence: number;
  readonly expiresAtMs: number;
}

/** The tickets of an entry. */
export interface TicketRegistry {
  readonly incarnation: string;
  readonly issuedCount: number;
  readonly records: ImmutableMap<string, TicketRecord>;
}

/** How to handle a query with a ticket. */
export type TicketDecision =
  | { readonly kind: "run" }
  | { readonly kind: "join"; readonly queryId: string }
  | { readonly kind: "replay"; readonly answer: QueryAnswer }
  | { readonly kind: "elsewhere"; readonly incarnation: string }
  | { readonly kind: "cannotTell"; readonly message: string };

/**
 * Creates an empty registry.
 *
 * @param incarnation - Incarnation of the entry.
 * @returns The registry.
 */
export function createTicketRegistry(incarnation: string): TicketRegistry {
  return { incarnation, issuedCount: 0, records: ImmutableMap() };
}

/**
 * Issues a ticket and removes those that expired long ago.
 *
 * @param registry - The tickets.
 * @param options - Current time, in milliseconds.
 * @returns The ticket and the updated registry.
 */
export function issueTicket(
  registry: TicketRegistry,
  { nowMs }: { readonly nowMs: number },
): { readonly ticket: string; readonly tickets: TicketRegistry } {
  const issuedCount = registry.issuedCount + 1;
  const ticket = `${registry.incarnation}~${issuedCount}`;
  const remaining = registry.records.filter((each) => nowMs < each.expiresAtMs + TICKET_GRACE_MS);
  const record: TicketRecord = {
    states: ImmutableMap(),
    highestSequence: 0,
    expiresAtMs: nowMs + TICKET_TTL_MS,
  };
  return {
    ticket,
    tickets: { ...registry, issuedCount, records: remaining.set(ticket, record) },
  };
}

/** Ticket and sequence number of a query. */
export interface TicketPosition {
  readonly ticket: string;
  readonly sequence: number;
}

/**
 * Decides how to handle a query with a ticket.
 *
 * @param registry - The tickets.
 * @param position - Ticket and sequence number of the query.
 * @param options - Current time, in milliseconds.
 * @returns The decision; `run` only for a sequence number that was never run here.
 */
export function checkTicket(
  registry: TicketRegistry,
  { ticket, sequence }: TicketPosition,
  { nowMs }: { readonly nowMs: number },
): TicketDecision {
  const incarnation = ticket.split("~")[0] ?? "";
  if (incarnation !== registry.incarnation) {
    return { kind: "elsewhere", incarnation };
  }
  const record = registry.records.get(ticket);
  if (record === undefined) {
    return {
      kind: "cannotTell",
      message: "Cannot tell whether the query ran: ticket is forgotten",
    };
  }
  const state = record.states.get(sequence);
  if (state !== undefined) {
    return state.kind === "running"
      ? { kind: "join", queryId: state.queryId }
      : { kind: "replay", answer: state.answer };
  }
  if (sequence <= record.highestSequence - TICKET_WINDOW) {
    return {
      kind: "cannotTell",
      message: "Cannot tell whether the query ran: sequence is too old",
    };
  }
  if (nowMs > record.expiresAtMs) {
    return { kind: "cannotTell", message: "Cannot tell whether the query ran: ticket has expired" };
  }
  return { kind: "run" };
}

/**
 * Records that a query with a ticket is running.
 *
 * @param registry - The tickets.
 * @param position - Ticket and sequence number of the query.
 * @param queryId - Id of the query.
 * @returns The updated registry.
 */
export function recordRunning(
  registry: TicketRegistry,
  position: TicketPosition,
  queryId: string,
): TicketRegistry {
  return setState(registry, position, { kind: "running", queryId });
}

/**
 * Records the answer of a query with a ticket. A query that did not run is removed, so that its
 * sequence number may be used again.
 *
 * @param registry - The tickets.
 * @param position - Ticket and sequence number of the query.
 * @param answer - Answer of the query.
 * @returns The updated registry.
 */
export function recordFinished(
  registry: TicketRegistry,
  position: TicketPosition,
  answer: QueryAnswer,
): TicketRegistry {
  return setState(registry, position, answer.notRun ? undefined : { kind: "finished", answer });
}

function setState(
  registry: TicketRegistry,
  { ticket, sequence }: TicketPosition,
  state: SequenceState | undefined,
): TicketRegistry {
  const record = registry.records.get(ticket);
  if (record === undefined) {
    return registry;
  }
  const highestSequence = Math.max(record.highestSequence, sequence);
  const inWindow = record.states.filter((each, number) => {
    return each.kind === "running" || number > highestSequence - TICKET_WINDOW;
  });
  const states = state === undefined ? inWindow.delete(sequence) : inWindow.set(sequence, state);
  return {
    ...registry,
    records: registry.records.set(ticket, { ...record, states, highestSequence }),
  };
}
