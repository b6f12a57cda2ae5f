/**
 * Finds the record below which no further record can be among the greatest, so that boxes far away
 * need not send what lies below it.
 *
 * @module
 */
import { mergeRecords, RECORD_BYTES } from "./record_merge.js";

/**
 * Finds the least of the greatest records of some parts. Whatever other parts hold below it is not
 * wanted any more, as long as these parts stay in the answer.
 *
 * @param parts - Bodies of the parts, records in no order.
 * @param options - Records wanted in the end.
 * @returns The record, or nothing while there are fewer records than wanted.
 */
export function recordThreshold(
  parts: ReadonlyArray<Buffer>,
  { topRecords }: { readonly topRecords: number },
): Buffer | undefined {
  const greatest = mergeRecords(parts, { topRecords });
  const isFull = topRecords > 0 && greatest.length === topRecords * RECORD_BYTES;
  return isFull ? greatest.subarray(-RECORD_BYTES) : undefined;
}
