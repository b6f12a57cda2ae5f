/**
 * Limits how many calls a box may send to the target version of a rollout.
 *
 * Each box earns credit from its own calls only, so the sum over all boxes is bounded whatever they
 * know of each other.
 *
 * @module
 */
import { fnv1a } from "../hashing/mod.js";
import type { RolloutBounds, StorePosition } from "../model/mod.js";

/** Part of the share that may be used before the switch, 0 to 1; the switch may use the rest. */
const GRADUAL_SHARE = 0.35;

/** Part of the slack that may be used before the switch, 0 to 1; the switch may use the rest. */
const GRADUAL_SLACK = 0.4;

/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/** What a box's credit depends on. */
export interface ExposureTerms {
  readonly bounds: Pick<RolloutBounds, "exposureShare" | "exposureSlackCalls">;
  /** First calls that the box has sent to the service between order and deadline. */
  readonly requests: number;
  /** The box's part of the slack, 0 to 1; at most 1 in total over all boxes. */
  readonly slackShare: number;
  /** Added before rounding down, 0 to 1; see {@link roundingOffset}. */
  readonly roundingOffset: number;
}

/** The incarnation of a box and the order that a rounding offset is for. */
export interface RoundingKey {
  readonly box: string;
  readonly incarnation: string;
  readonly service: string;
  readonly orderPosition: StorePosition;
}

/**
 * Computes the number of calls that a box may have sent to the target version before the switch.
 *
 * @param terms - What the credit depends on.
 * @returns The number of calls since the order.
 */
export function exposureLimit(terms: ExposureTerms): number {
  const { bounds, requests, roundingOffset, slackShare } = terms;
  const shareCalls = GRADUAL_SHARE * bounds.exposureShare * requests;
  const slackCalls = GRADUAL_SLACK * bounds.exposureSlackCalls * slackShare;
  return Math.floor(shareCalls + slackCalls + roundingOffset);
}

/**
 * Computes an offset from 0 up to 1 that is uniformly distributed over boxes and orders. With it,
 * rounding down does not change the mean number of calls, and services with orders at the same time
 * do not select the same request. It depends on the incarnation, as a box with a high offset that
 * restarts repeatedly would otherwise send a call each time.
 *
 * @param key - The incarnation of the box, and the order.
 * @returns The offset.
 */
export function roundingOffset({ box, incarnation, orderPosition, service }: RoundingKey): number {
  return fnv1a(`${box} ${incarnation} ${service} ${orderPosition}`) / HASH_RANGE;
}
