/**
 * Sizes and times that several parts keep to.
 *
 * @module
 */

/** Largest body accepted from a caller or an operator, in bytes; the platform's own bound. */
export const MAX_BODY_BYTES = 1_000_000;

/** Longest deadline a caller may set, in milliseconds. */
export const MAX_DEADLINE_MS = 60_000;

/** How long callers may keep the list of entries, in milliseconds. */
export const ADDRESS_LIST_TTL_MS = 5_000;

/** How long a ticket may be used, in milliseconds. */
export const TICKET_TTL_MS = 600_000;

/** Time kept back from a caller's deadline to write the answer, in milliseconds. */
export const ANSWER_MARGIN_MS = 8;

/** Most shards of one snapshot. */
export const MAX_SHARDS = 2_000;
