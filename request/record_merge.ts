/**
 * Merges the records of several parts: the greatest ones by byte order, greatest first.
 *
 * @module
 */

/** Size of a record, in bytes. A shorter remainder at the end of a part is no record. */
export const RECORD_BYTES = 16;

/**
 * Picks the greatest records of all parts; equal records each count.
 *
 * @param parts - Bodies of the parts, records in no order.
 * @param options - Most records wanted.
 * @returns The records, greatest first, one after the other.
 */
export function mergeRecords(
  parts: ReadonlyArray<Buffer>,
  { topRecords }: { readonly topRecords: number },
): Buffer {
  const records = parts.flatMap(recordsOf);
  records.sort((a, b) => Buffer.compare(b, a));
  return Buffer.concat(records.slice(0, topRecords));
}

function recordsOf(part: Buffer): ReadonlyArray<Buffer> {
  const count = Math.floor(part.length / RECORD_BYTES);
  return Array.from({ length: count }, (_, index) => {
    return part.subarray(index * RECORD_BYTES, (index + 1) * RECORD_BYTES);
  });
}
