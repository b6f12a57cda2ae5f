/**
 * Picks which records other boxes are told of, and when at once.
 *
 * @module
 */
import type { CrashRecord } from "./crash_record.js";

/**
 * Losses from which on other boxes are told whatever became of the request: a single one is most often a leaf
 * that ended by itself, and another leaf answers in its place.
 */
export const MIN_PUBLISHED_CRASHES = 2;

/** Share of the records told that are the latest changes. */
const LATEST_SHARE = 0.75;

/**
 * Tells whether other boxes are to know of a record.
 *
 * @param record - The record.
 * @returns Whether they are.
 */
export function shouldPublish({ standing, hasFailed, lostLeafs }: CrashRecord): boolean {
  return standing !== "suspected" || hasFailed || lostLeafs >= MIN_PUBLISHED_CRASHES;
}

/**
 * Tells whether they are to know at once. Not of each further loss: a query over many shards loses dozens of
 * leafs within a tenth of a second.
 *
 * @param record - What is believed now.
 * @param before - What was believed, if anything.
 * @returns Whether they are.
 */
export function shouldPublishNow(record: CrashRecord, before: CrashRecord | undefined): boolean {
  if (before === undefined || !shouldPublish(before)) {
    return shouldPublish(record);
  }
  return record.standing !== before.standing || record.lostTrials !== before.lostTrials;
}

/**
 * Picks the records that go into one datagram.
 *
 * @param all - Records that other boxes are to know, the latest change last.
 * @param most - Most records. Where there are more, the latest changes fill three quarters, the rest others
 *   by chance, so that each is told in the end.
 * @returns Those that go.
 */
export function selectForPublishing(
  all: ReadonlyArray<CrashRecord>,
  most: number,
): ReadonlyArray<CrashRecord> {
  if (all.length <= most) {
    return all;
  }
  const latest = Math.ceil(most * LATEST_SHARE);
  const others = all.slice(0, -latest);
  const first = Math.floor(Math.random() * others.length);
  const byChance = [...others.slice(first), ...others.slice(0, first)].slice(0, most - latest);
  return [...all.slice(-latest), ...byChance];
}
