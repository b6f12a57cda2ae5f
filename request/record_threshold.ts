/**
 * Computes the top-k threshold: the record below which no further record can be in the result.
 * Remote boxes omit smaller records.
 *
 * @module
 */
import { mergeRecords, RECORD_BYTES } from "./record_merge.js";

/**
 * Computes the smallest of the greatest records of some parts. Smaller records of other parts
 * cannot be in the result as long as these parts are.
 *
 * @param parts - Bodies of the parts, records in any order.
 * @param options - Number of records in the result.
 * @returns The record, or `undefined` if there are fewer records than wanted.
 */
export function recordThreshold(
  parts: ReadonlyArray<Buffer>,
  { topRecords }: { readonly topRecords: number },
): Buffer | undefined {
  const greatest = mergeRecords(parts, { topRecords });
  const isFull = topRecords > 0 && greatest.length === topRecords * RECORD_BYTES;
  return isFull ? greatest.subarray(-RECORD_BYTES) : undefined;
}
