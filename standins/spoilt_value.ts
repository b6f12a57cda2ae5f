/**
 * Data with one value replaced, for fuzz tests of what boxes read from one another.
 *
 * @module
 */
import fc from "fast-check";

/** Depth of the values that are put in. */
const MAX_DEPTH = 2;

/**
 * Makes data in which one value, at any depth, is another one.
 *
 * @param data - Lists within lists.
 * @param most - Highest number of a value that is replaced, counted through all depths from 0, the whole.
 * @returns The spoilt data.
 */
export function spoiltValue(data: unknown, most: number): fc.Arbitrary<unknown> {
  return fc
    .tuple(fc.integer({ min: 0, max: most }), fc.jsonValue({ maxDepth: MAX_DEPTH }))
    .map(([place, value]) => spoil(data, { left: place, value }));
}

interface Spoiler {
  /** Values to pass over. */
  left: number;
  readonly value: unknown;
}

function spoil(data: unknown, spoiler: Spoiler): unknown {
  spoiler.left -= 1;
  if (spoiler.left === -1) {
    return spoiler.value;
  }
  return Array.isArray(data) ? data.map((each) => spoil(each, spoiler)) : data;
}
