/**
 * Sizes and time limits shared by several modules.
 *
 * @module
 */

/** Maximum size of a request body from a caller or operator, in bytes; the platform's limit. */
export const MAX_BODY_BYTES = 1_000_000;

/** Maximum deadline that a caller may set, in milliseconds. */
export const MAX_DEADLINE_MS = 60_000;

/** How long callers may cache the list of entry addresses, in milliseconds. */
export const ADDRESS_LIST_TTL_MS = 5_000;

/** How long a ticket is valid, in milliseconds. */
export const TICKET_TTL_MS = 600_000;

/** Part of a caller's deadline reserved for writing the answer, in milliseconds. */
export const ANSWER_MARGIN_MS = 8;

/** Maximum number of shards in a snapshot. */
export const MAX_SHARDS = 2_000;
