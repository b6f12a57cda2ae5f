/**
 * The tickets that one entry handed out and what became of the queries sent under them.
 *
 * A ticket names the incarnation of the entry that made it. Only that incarnation runs its queries,
 * and it remembers which sequence numbers it has seen, in memory alone: when it is gone, nobody can
 * run them, and the outcome is unknown. No lease and no write to the platform takes part.
 *
 * @module
 */
import { Map as ImmutableMap } from "immutable";
import { type QueryAnswer, TICKET_TTL_MS } from "../model/mod.js";

/** Sequence numbers remembered for each ticket. */
export const TICKET_WINDOW = 64;

/** Time that a ticket is remembered after callers may no longer use it, in milliseconds. */
const TICKET_GRACE_MS = 120_000;

/** What is known of one sequence number. */
export type TicketUse =
  | { readonly kind: "running"; readonly queryId: string }
  | { readonly kind: "finished"; readonly answer: QueryAnswer };

/** One ticket in use. */
interface TicketRecord {
  readonly uses: ImmutableMap<number, TicketUse>;
  readonly highestSequence: number;
  readonly usableUntilMs: number;
}

/** All tickets of an entry. */
export interface TicketRegistry {
  readonly incarnation: string;
  readonly issuedCount: number;
  readonly records: ImmutableMap<string, TicketRecord>;
}

/** What may be done with a query that comes under a ticket. */
export type TicketDecision =
  | { readonly kind: "run" }
  | { readonly kind: "join"; readonly queryId: string }
  | { readonly kind: "replay"; readonly answer: QueryAnswer }
  | { readonly kind: "elsewhere"; readonly incarnation: string }
  | { readonly kind: "cannotTell"; readonly message: string };

/**
 * Starts without any ticket.
 *
 * @param incarnation - This run of the entry.
 * @returns The tickets.
 */
export function createTicketRegistry(incarnation: string): TicketRegistry {
  return { incarnation, issuedCount: 0, records: ImmutableMap() };
}

/**
 * Hands out a ticket and forgets those long out of use.
 *
 * @param tickets - Tickets so far.
 * @param options - The present moment.
 * @returns The ticket and the tickets after that.
 */
export function issueTicket(
  tickets: TicketRegistry,
  { nowMs }: { readonly nowMs: number },
): { readonly ticket: string; readonly tickets: TicketRegistry } {
  const issued = tickets.issuedCount + 1;
  const ticket = `${tickets.incarnation}~${issued}`;
  const kept = tickets.records.filter((each) => nowMs < each.usableUntilMs + TICKET_GRACE_MS);
  const record: TicketRecord = {
    uses: ImmutableMap(),
    highestSequence: 0,
    usableUntilMs: nowMs + TICKET_TTL_MS,
  };
  return {
    ticket,
    tickets: { ...tickets, issuedCount: issued, records: kept.set(ticket, record) },
  };
}

/** A query's place under a ticket. */
export interface TicketPosition {
  readonly ticket: string;
  readonly sequence: number;
}

/**
 * Decides what may be done with a query under a ticket.
 *
 * @param tickets - Tickets of this entry.
 * @param place - The ticket and the sequence number.
 * @param options - The present moment.
 * @returns The verdict; `run` only for a sequence number that was never run here.
 */
export function checkTicket(
  tickets: TicketRegistry,
  { ticket, sequence }: TicketPosition,
  { nowMs }: { readonly nowMs: number },
): TicketDecision {
  const incarnation = ticket.split("~")[0] ?? "";
  if (incarnation !== tickets.incarnation) {
    return { kind: "elsewhere", incarnation };
  }
  const record = tickets.records.get(ticket);
  if (record === undefined) {
    return {
      kind: "cannotTell",
      message: "Cannot tell whether the query ran: ticket is forgotten",
    };
  }
  const use = record.uses.get(sequence);
  if (use !== undefined) {
    return use.kind === "running"
      ? { kind: "join", queryId: use.queryId }
      : { kind: "replay", answer: use.answer };
  }
  if (sequence <= record.highestSequence - TICKET_WINDOW) {
    return {
      kind: "cannotTell",
      message: "Cannot tell whether the query ran: sequence is too old",
    };
  }
  if (nowMs > record.usableUntilMs) {
    return { kind: "cannotTell", message: "Cannot tell whether the query ran: ticket has expired" };
  }
  return { kind: "run" };
}

/**
 * Notes that a query under a ticket runs.
 *
 * @param tickets - Tickets so far.
 * @param place - The ticket and the sequence number.
 * @param queryId - The query.
 * @returns The tickets after that.
 */
export function recordRunning(
  tickets: TicketRegistry,
  place: TicketPosition,
  queryId: string,
): TicketRegistry {
  return setUse(tickets, place, { kind: "running", queryId });
}

/**
 * Notes the answer of a query under a ticket. A query known not to have run is taken off, so that
 * the same sequence number may be sent again.
 *
 * @param tickets - Tickets so far.
 * @param place - The ticket and the sequence number.
 * @param answer - Its answer.
 * @returns The tickets after that.
 */
export function recordFinished(
  tickets: TicketRegistry,
  place: TicketPosition,
  answer: QueryAnswer,
): TicketRegistry {
  return setUse(tickets, place, answer.notRun ? undefined : { kind: "finished", answer });
}

function setUse(
  tickets: TicketRegistry,
  { ticket, sequence }: TicketPosition,
  use: TicketUse | undefined,
): TicketRegistry {
  const record = tickets.records.get(ticket);
  if (record === undefined) {
    return tickets;
  }
  const highestSequence = Math.max(record.highestSequence, sequence);
  const inWindow = record.uses.filter((kept, number) => {
    return kept.kind === "running" || number > highestSequence - TICKET_WINDOW;
  });
  const uses = use === undefined ? inWindow.delete(sequence) : inWindow.set(sequence, use);
  return { ...tickets, records: tickets.records.set(ticket, { ...record, uses, highestSequence }) };
}
