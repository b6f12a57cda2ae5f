/**
 * Merges the records of several parts: the greatest in byte order, in descending order.
 *
 * @module
 */

/** Size of a record, in bytes. A shorter remainder at the end of a part is ignored. */
export const RECORD_BYTES = 16;

/**
 * Length of the record prefix that is compared as a number, in bytes. Longer prefixes would exceed
 * the safe integer range.
 */
const KEY_BYTES = 6;

/** Location of a record. */
interface RecordLocation {
  readonly part: Buffer;
  readonly offset: number;
}

/** Which records to return. */
export interface MergeOptions {
  /** Maximum number of records. */
  readonly topRecords: number;
  /** Lower bound: smaller records are omitted. No bound by default. */
  readonly minRecord?: Buffer | undefined;
}

/**
 * Selects the greatest records of all parts. Duplicate records are kept.
 *
 * Most records are excluded by their numeric prefix, which is much faster than comparing bytes.
 *
 * @param parts - Bodies of the parts, records in any order.
 * @param options - Which records to return.
 * @returns The concatenated records, in descending order.
 */
export function mergeRecords(
  parts: ReadonlyArray<Buffer>,
  { topRecords, minRecord }: MergeOptions,
): Buffer {
  const keys = recordKeys(parts);
  const locations = locationsFrom(parts, keys, minKey(keys, topRecords));
  locations.sort(compareRecords);
  const wanted = locations
    .slice(0, topRecords)
    .filter((location) => minRecord === undefined || !isBelow(location, minRecord));
  const merged = Buffer.allocUnsafe(wanted.length * RECORD_BYTES);
  wanted.forEach(({ part, offset }, index) => {
    part.copy(merged, index * RECORD_BYTES, offset, offset + RECORD_BYTES);
  });
  return merged;
}

function recordCount(part: Buffer): number {
  return Math.floor(part.length / RECORD_BYTES);
}

function recordKeys(parts: ReadonlyArray<Buffer>): Float64Array {
  const count = parts.reduce((sum, part) => sum + recordCount(part), 0);
  const keys = new Float64Array(count);
  let index = 0;
  for (const part of parts) {
    const end = recordCount(part) * RECORD_BYTES;
    for (let offset = 0; offset < end; offset += RECORD_BYTES) {
      keys[index] = part.readUIntBE(offset, KEY_BYTES);
      index += 1;
    }
  }
  return keys;
}

/** Size of the buffer for candidate keys, as a multiple of the records wanted. */
const CANDIDATES_FACTOR = 4;

/**
 * Finds the smallest key that a record among the greatest can have. Only candidate keys are
 * buffered and sorted, which is a fraction of all keys.
 */
function minKey(keys: Float64Array, topRecords: number): number {
  if (keys.length <= topRecords || topRecords === 0) {
    return 0;
  }
  const candidates = new Float64Array(Math.min(keys.length, topRecords * CANDIDATES_FACTOR));
  let count = 0;
  let threshold = 0;
  for (const key of keys) {
    if (key < threshold) {
      continue;
    }
    if (count === candidates.length) {
      candidates.sort();
      candidates.copyWithin(0, count - topRecords);
      count = topRecords;
      threshold = candidates[0] ?? 0;
    }
    candidates[count] = key;
    count += 1;
  }
  return candidates.subarray(0, count).sort()[count - topRecords] ?? 0;
}

function locationsFrom(
  parts: ReadonlyArray<Buffer>,
  keys: Float64Array,
  threshold: number,
): Array<RecordLocation> {
  const locations: Array<RecordLocation> = [];
  let index = 0;
  for (const part of parts) {
    const end = recordCount(part) * RECORD_BYTES;
    for (let offset = 0; offset < end; offset += RECORD_BYTES) {
      if ((keys[index] ?? 0) >= threshold) {
        locations.push({ part, offset });
      }
      index += 1;
    }
  }
  return locations;
}

/** Orders records in descending byte order. */
function compareRecords(a: RecordLocation, b: RecordLocation): number {
  return b.part.compare(
    a.part,
    a.offset,
    a.offset + RECORD_BYTES,
    b.offset,
    b.offset + RECORD_BYTES,
  );
}

function isBelow({ part, offset }: RecordLocation, record: Buffer): boolean {
  return part.compare(record, 0, RECORD_BYTES, offset, offset + RECORD_BYTES) < 0;
}
