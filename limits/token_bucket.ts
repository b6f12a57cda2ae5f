/**
 * A token bucket as plain data.
 *
 * @module
 */

/** Tokens left, and when they were counted. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Rate and size of a bucket. */
export interface BucketRate {
  /** Tokens that come in each second. */
  readonly perSecond: number;
  /** Most tokens that the bucket holds. */
  readonly burst: number;
}

/**
 * Brings a bucket up to now.
 *
 * @param bucket - Bucket as last counted.
 * @param rate - Rate and size that hold since then.
 * @param options - The present moment.
 * @returns The bucket as of now; a clock that went back adds nothing.
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
 * Works out when a bucket holds one token again.
 *
 * @param bucket - Bucket as of now.
 * @param rate - Its rate.
 * @returns Milliseconds until then; 1000 when nothing comes in.
 */
export function msUntilToken(bucket: TokenBucket, rate: BucketRate): number {
  if (bucket.tokens >= 1) {
    return 0;
  }
  return rate.perSecond > 0 ? Math.ceil(((1 - bucket.tokens) / rate.perSecond) * 1000) : 1000;
}
