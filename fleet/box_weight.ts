/**
 * Weight of a box in the division of limits that all boxes share.
 *
 * @module
 */

/**
 * Above 1, as large boxes are preferred and so receive more than their proportion of the requests.
 */
const CORES_EXPONENT = 2;

/** Number of cores assumed for a box that does not report it. */
const DEFAULT_CORES = 1;

/**
 * Computes the weight of a box. It depends on the box alone, so that each box knows its own whatever
 * it knows of others.
 *
 * @param processorCores - Processor cores that the box may use; `undefined` if not reported.
 * @returns The weight.
 */
export function boxWeight(processorCores: number | undefined): number {
  return (processorCores ?? DEFAULT_CORES) ** CORES_EXPONENT;
}

/**
 * Adds the weights of boxes.
 *
 * @param cores - Processor cores of each box.
 * @returns The sum.
 */
export function sumOfWeights(cores: Iterable<number | undefined>): number {
  let sum = 0;
  for (const each of cores) {
    sum += boxWeight(each);
  }
  return sum;
}
