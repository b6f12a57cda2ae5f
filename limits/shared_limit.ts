/**
 * A limit that all entries keep together, without an agreement at run time.
 *
 * Each entry refills its own bucket with an equal part of the rate: the rate divided by the number
 * of entry boxes that the platform's box list names. An entry that runs short borrows tokens from
 * another, which takes them out of its own bucket before it sends them, so that their sum never
 * grows. A box the list has only just named adds nothing of its own until every other box must have
 * heard of it (`JOIN_WAIT_MS`); a silent box keeps its part until the list drops it, since it may
 * still be admitting.
 *
 * @module
 */
import { type BucketRate, refill, type TokenBucket } from "./token_bucket.js";

/** Time after which each connected box knows a new box list, in milliseconds. */
export const JOIN_WAIT_MS = 10_000;

/** Share of its tokens that a lender keeps for its own callers. */
const LENDER_KEEPS = 0.5;

/** One entry's part of a shared limit. */
export interface LimitShare {
  readonly bucket: TokenBucket;
  /** Whether a request to borrow is on its way. */
  readonly borrowing: boolean;
  /** Requests turned away since the last loan; how much to ask for. */
  readonly refusedSinceLoan: number;
}

/**
 * Works out an entry's part of a service's rate.
 *
 * @param whole - Rate and burst of the service over all boxes.
 * @param options - Number of entry boxes in the box list, and how long this box has stood in it.
 * @returns Rate and burst of this entry's bucket.
 */
export function entryRate(
  whole: BucketRate,
  { entryBoxes, listedForMs }: { readonly entryBoxes: number; readonly listedForMs: number },
): BucketRate {
  const parts = Math.max(1, entryBoxes);
  const perSecond = parts > 1 && listedForMs < JOIN_WAIT_MS ? 0 : whole.perSecond / parts;
  return { perSecond, burst: whole.burst / parts };
}

/**
 * Makes an entry's share at the moment it first needs one; it starts empty on a box that has only
 * just joined.
 *
 * @param rate - Rate and burst of this entry's bucket.
 * @param options - The present moment.
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
 * @param options - The present moment.
 * @returns Whether the request is admitted, and the share after it.
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
 * Lends tokens to another entry: takes them out of this share.
 *
 * @param share - The lender's share.
 * @param rate - Rate and burst of its bucket.
 * @param options - Tokens asked for and the present moment.
 * @returns Whole tokens lent, and the share after that.
 */
export function lend(
  share: LimitShare,
  rate: BucketRate,
  { asked, nowMs }: { readonly asked: number; readonly nowMs: number },
): { readonly lent: number; readonly share: LimitShare } {
  const bucket = refill(share.bucket, rate, { nowMs });
  const spare = Math.floor(bucket.tokens * (1 - LENDER_KEEPS));
  const lent = Math.max(0, Math.min(Math.floor(asked), spare));
  return { lent, share: { ...share, bucket: { ...bucket, tokens: bucket.tokens - lent } } };
}

/**
 * Adds tokens that another entry lent.
 *
 * @param share - The borrower's share.
 * @param lent - Tokens that the lender took out of its own.
 * @returns The share after that.
 */
export function receiveLoan(share: LimitShare, lent: number): LimitShare {
  const bucket = { ...share.bucket, tokens: share.bucket.tokens + lent };
  return { bucket, borrowing: false, refusedSinceLoan: 0 };
}
