/**
 * An immutable token bucket.
 *
 * @module
 */

/** Tokens left, and when they were updated. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Rate and size of a bucket. */
export interface BucketRate {
  /** Tokens added each second. */
  readonly perSecond: number;
  /** Maximum number of tokens. */
  readonly burst: number;
}

/**
 * Refills a bucket for the time that has passed.
 *
 * @param bucket - Bucket as last updated.
 * @param rate - Rate and size since then.
 * @param options - Current time, in milliseconds.
 * @returns The updated bucket. A clock that went back adds nothing.
 */
export function refill(
  bucket: TokenBucket,
  rate: BucketRate,
  { nowMs }: { readonly nowMs: number },
): TokenBucket {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const tokens = Math.min(rate.burst, bucket.tokens + (elapsedMs / 1000) * rate.perSecond);
  return { tokens, updatedAtMs: Math.max(nowMs, bucket.updatedAtMs) };
}

/**
 * Computes the time until a bucket holds one token.
 *
 * @param bucket - Bucket as of now.
 * @param rate - Its rate.
 * @returns The time in milliseconds; 1000 if the rate is 0.
 */
export function msUntilToken(bucket: TokenBucket, rate: BucketRate): number {
  if (bucket.tokens >= 1) {
    return 0;
  }
  return rate.perSecond > 0 ? Math.ceil(((1 - bucket.tokens) / rate.perSecond) * 1000) : 1000;
}
