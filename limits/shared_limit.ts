/**
 * A rate limit that all entry boxes enforce together, without coordination at run time.
 *
 * Each entry refills its own bucket with an equal part of the rate: the rate divided by the number
 * of entry boxes in the platform's box list. An entry that runs out borrows tokens from another,
 * which removes them from its own bucket before sending them, so that their sum never grows. A
 * newly listed box adds no tokens of its own until every other box must have received the list
 * (`JOIN_WAIT_MS`). An unresponsive box keeps its part until it is removed from the list, since it
 * may still be admitting requests.
 *
 * @module
 */
import { type BucketRate, refill, type TokenBucket } from "./token_bucket.js";

/** Time after which every connected box has received a new box list, in milliseconds. */
export const JOIN_WAIT_MS = 10_000;

/** Fraction of its tokens that a lender keeps for its own callers. */
const LENDER_RESERVE_SHARE = 0.5;

/** One entry's part of a shared limit. */
export interface LimitShare {
  readonly bucket: TokenBucket;
  /** Whether a request to borrow is in flight. */
  readonly borrowing: boolean;
  /** Requests refused since the last loan; the number of tokens to borrow. */
  readonly refusedSinceLoan: number;
}

/**
 * Computes an entry's part of a service's rate.
 *
 * @param total - Rate and burst of the service over all boxes.
 * @param options - Number of entry boxes in the box list, and how long this box has been listed, in
 *   milliseconds.
 * @returns Rate and burst of this entry's bucket.
 */
export function entryRate(
  total: BucketRate,
  { entryBoxes, listedForMs }: { readonly entryBoxes: number; readonly listedForMs: number },
): BucketRate {
  const parts = Math.max(1, entryBoxes);
  const perSecond = parts > 1 && listedForMs < JOIN_WAIT_MS ? 0 : total.perSecond / parts;
  return { perSecond, burst: total.burst / parts };
}

/**
 * Creates an entry's share when it is first needed. It is empty on a box that has only just joined.
 *
 * @param rate - Rate and burst of this entry's bucket.
 * @param options - Current time, in milliseconds.
 * @returns A new share.
 */
export function newShare(rate: BucketRate, { nowMs }: { readonly nowMs: number }): LimitShare {
  const tokens = rate.perSecond > 0 ? rate.burst : 0;
  return { bucket: { tokens, updatedAtMs: nowMs }, borrowing: false, refusedSinceLoan: 0 };
}

/**
 * Admits one request if a token is left.
 *
 * @param share - The entry's share.
 * @param rate - Rate and burst of its bucket.
 * @param options - Current time, in milliseconds.
 * @returns Whether the request is admitted, and the updated share.
 */
export function admit(
  share: LimitShare,
  rate: BucketRate,
  { nowMs }: { readonly nowMs: number },
): { readonly admitted: boolean; readonly share: LimitShare } {
  const bucket = refill(share.bucket, rate, { nowMs });
  if (bucket.tokens >= 1) {
    const spent = { ...bucket, tokens: bucket.tokens - 1 };
    return { admitted: true, share: { ...share, bucket: spent } };
  }
  return {
    admitted: false,
    share: { ...share, bucket, refusedSinceLoan: share.refusedSinceLoan + 1 },
  };
}

/**
 * Lends tokens to another entry, and removes them from this share.
 *
 * @param share - The lender's share.
 * @param rate - Rate and burst of its bucket.
 * @param options - Tokens requested, and the current time in milliseconds.
 * @returns The integer number of tokens lent, and the updated share.
 */
export function lend(
  share: LimitShare,
  rate: BucketRate,
  { asked, nowMs }: { readonly asked: number; readonly nowMs: number },
): { readonly lent: number; readonly share: LimitShare } {
  const bucket = refill(share.bucket, rate, { nowMs });
  const spare = Math.floor(bucket.tokens * (1 - LENDER_RESERVE_SHARE));
  const lent = Math.max(0, Math.min(Math.floor(asked), spare));
  return { lent, share: { ...share, bucket: { ...bucket, tokens: bucket.tokens - lent } } };
}

/**
 * Adds tokens that another entry lent.
 *
 * @param share - The borrower's share.
 * @param lent - Tokens that the lender removed from its share.
 * @returns The updated share.
 */
export function receiveLoan(share: LimitShare, lent: number): LimitShare {
  const bucket = { ...share.bucket, tokens: share.bucket.tokens + lent };
  return { bucket, borrowing: false, refusedSinceLoan: 0 };
}
