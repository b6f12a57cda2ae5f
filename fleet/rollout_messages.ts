/**
 * What a datagram says about rollouts: a digest of the sender's orders, the orders themselves in
 * updates and in answers to a sender with another digest, and reports.
 *
 * @module
 */
import { fnv1a } from "../hashing/mod.js";
import type { Rollout, RolloutReport, RolloutUpdate, StorePosition } from "../model/mod.js";

/** An order in a datagram. It contains an age instead of a time, as the clocks of boxes differ. */
export interface ReportedRollout extends Omit<Rollout, "orderedAtMs"> {
  /** Time since the order, in milliseconds. */
  readonly orderedAgoMs: number;
}

/** What a datagram says about rollouts. */
export interface RolloutMessage {
  /** Store position up to which the sender has applied orders; 0 if it knows none yet. */
  readonly position: StorePosition;
  /** Equal for boxes with the same orders. */
  readonly digest: number;
  /** All orders of the sender; `undefined` if the datagram contains only the digest. */
  readonly rollouts: ReadonlyArray<ReportedRollout> | undefined;
  readonly reports: ReadonlyArray<RolloutReport>;
}

/** Computed digests; an update is sent many times. */
const DIGESTS = new WeakMap<RolloutUpdate, number>();

/**
 * Computes the digest of orders. It excludes the times of the orders, which boxes estimate
 * differently, and the position, which may differ between boxes with the same orders.
 *
 * @param update - Orders, sorted by service.
 * @returns The digest.
 */
export function rolloutDigest(update: RolloutUpdate): number {
  const known = DIGESTS.get(update);
  if (known !== undefined) {
    return known;
  }
  const fields = update.rollouts.map((rollout) => [
    ...[rollout.service, rollout.targetVersion, rollout.durationMs, rollout.orderPosition],
    ...[rollout.state, rollout.attempt, rollout.stage, rollout.isBad, rollout.retiredVersions],
  ]);
  const digest = fnv1a(JSON.stringify(fields));
  DIGESTS.set(update, digest);
  return digest;
}

/** What to put into a datagram. */
export interface RolloutMessageOptions {
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  /** Whether to include the orders besides their digest. */
  readonly hasOrders: boolean;
  readonly reports: ReadonlyArray<RolloutReport>;
}

/**
 * Builds the value of a datagram.
 *
 * @param update - Orders of this box; `undefined` if rollouts are disabled.
 * @param options - What to put into the datagram.
 * @returns The value; `undefined` if rollouts are disabled.
 */
export function toRolloutMessage(
  update: RolloutUpdate | undefined,
  { nowMs, hasOrders, reports }: RolloutMessageOptions,
): RolloutMessage | undefined {
  if (update === undefined) {
    return undefined;
  }
  const { position, rollouts } = update;
  const toReported = ({ orderedAtMs, ...rollout }: Rollout): ReportedRollout => {
    return { ...rollout, orderedAgoMs: nowMs - orderedAtMs };
  };
  const reported = hasOrders ? rollouts.map(toReported) : undefined;
  return { position, digest: rolloutDigest(update), rollouts: reported, reports };
}

/** What the reading of an update depends on. */
export interface RolloutUpdateOptions {
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  /** Orders of this box. */
  readonly own: RolloutUpdate;
}

/**
 * Reads the update of a datagram. If the sender has the same orders as this box, they are known up
 * to the position of the sender.
 *
 * @param message - Value of the datagram.
 * @param options - Current time and orders of this box.
 * @returns The update; `undefined` if the datagram contains only the digest of other orders, or
 *   nothing later than what this box knows.
 */
export function toRolloutUpdate(
  { digest, position, rollouts }: RolloutMessage,
  { nowMs, own }: RolloutUpdateOptions,
): RolloutUpdate | undefined {
  if (rollouts === undefined) {
    const isLater = position > own.position && digest === rolloutDigest(own);
    return isLater ? { position, rollouts: [] } : undefined;
  }
  const received = rollouts.map(({ orderedAgoMs, ...rollout }) => {
    return { ...rollout, orderedAtMs: nowMs - orderedAgoMs };
  });
  return { position, rollouts: received };
}

/**
 * Reports whether the sender of a datagram lacks orders of this box or knows no position yet.
 *
 * @param update - Orders of this box; `undefined` if rollouts are disabled.
 * @param message - Value of the datagram; `undefined` from an earlier build.
 * @returns Whether to answer with all orders.
 */
export function lacksOrders(
  update: RolloutUpdate | undefined,
  message: RolloutMessage | undefined,
): boolean {
  if (update === undefined || message === undefined || update.position === 0) {
    return false;
  }
  return message.position === 0 || message.digest !== rolloutDigest(update);
}
