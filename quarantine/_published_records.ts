/**
 * Selects the crash records that are published to other boxes, and decides which are published
 * immediately.
 *
 * @module
 */
import type { CrashRecord } from "./crash_record.js";

/**
 * Number of crashed leafs from which a record is published even if no request has failed. A single
 * crash is usually unrelated to the query, and another leaf answers it.
 */
export const MIN_PUBLISHED_CRASHES = 2;

/** Fraction of the published records reserved for the latest changes. */
const LATEST_SHARE = 0.75;

/**
 * Returns whether a record is published to other boxes.
 *
 * @param record - The crash record.
 * @returns Whether the record is published.
 */
export function shouldPublish({ standing, hasFailed, lostLeafs }: CrashRecord): boolean {
  return standing !== "suspected" || hasFailed || lostLeafs >= MIN_PUBLISHED_CRASHES;
}

/**
 * Returns whether a changed record is published immediately. Further crashes alone do not qualify,
 * as a query over many shards can crash dozens of leafs at once.
 *
 * @param record - The record after the change.
 * @param previous - The record before the change, if any.
 * @returns Whether the record is published immediately.
 */
export function shouldPublishNow(record: CrashRecord, previous: CrashRecord | undefined): boolean {
  if (previous === undefined || !shouldPublish(previous)) {
    return shouldPublish(record);
  }
  return record.standing !== previous.standing || record.lostTrials !== previous.lostTrials;
}

/**
 * Selects the records for one datagram. If there are more than `maxCount`, most of the selected
 * records are the latest changes; the others are chosen at random, so that each record is published
 * eventually.
 *
 * @param all - All records to publish, the latest change last.
 * @param maxCount - Maximum number of records.
 * @returns The selected records.
 */
export function selectForPublishing(
  all: ReadonlyArray<CrashRecord>,
  maxCount: number,
): ReadonlyArray<CrashRecord> {
  if (all.length <= maxCount) {
    return all;
  }
  const latestCount = Math.ceil(maxCount * LATEST_SHARE);
  const others = all.slice(0, -latestCount);
  const startIndex = Math.floor(Math.random() * others.length);
  const sampled = [...others.slice(startIndex), ...others.slice(0, startIndex)].slice(
    0,
    maxCount - latestCount,
  );
  return [...all.slice(-latestCount), ...sampled];
}
