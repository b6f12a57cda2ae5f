/**
 * Generates data with one value replaced, for fuzz tests of messages between boxes.
 *
 * @module
 */
import fc from "fast-check";

/** Maximum depth of a replacement value. */
const MAX_DEPTH = 2;

/**
 * Generates copies of data in which the value at one position is replaced by an arbitrary JSON value.
 *
 * @param data - Nested arrays.
 * @param maxPosition - Highest position to replace, counted depth-first; position 0 is `data` itself.
 * @returns Arbitrary of the changed data.
 */
export function corruptedValue(data: unknown, maxPosition: number): fc.Arbitrary<unknown> {
  return fc
    .tuple(fc.integer({ min: 0, max: maxPosition }), fc.jsonValue({ maxDepth: MAX_DEPTH }))
    .map(([position, value]) => replaceValue(data, { remaining: position, value }));
}

interface Replacement {
  /** Values to skip before the one to replace. */
  remaining: number;
  readonly value: unknown;
}

function replaceValue(data: unknown, replacement: Replacement): unknown {
  replacement.remaining -= 1;
  if (replacement.remaining === -1) {
    return replacement.value;
  }
  return Array.isArray(data) ? data.map((each) => replaceValue(each, replacement)) : data;
}
