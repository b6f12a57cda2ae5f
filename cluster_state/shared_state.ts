/**
 * What a box hands to a peer that is behind: the configuration, and the leafs that have changed.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { SyncProgress } from "../fleet/mod.js";
import { applyLeafChanges, applyLeafList, type LeafTable } from "../leafs/mod.js";
import type { Configuration } from "../routing/mod.js";
import { isSharedState, type SharedState } from "./_shared_state_fields.js";
import type { LeafChangeLog } from "./leaf_change_log.js";

export type { ExpiredLeaf, SharedState } from "./_shared_state_fields.js";

/** Path at which peers hand over what they know. */
export const CLUSTER_STATE_PATH = "/peer/v1/knowledge";

/** Largest answer taken, inflated, in bytes: far above a configuration and thousands of leafs. */
const MAX_SHARED_BYTES = 64 * 1_048_576;

/** What a box knows. */
export interface ClusterStateSnapshot {
  readonly configuration: Configuration | undefined;
  readonly leafs: LeafTable;
  readonly news: LeafChangeLog;
  readonly leafsRevision: number;
  readonly nowMs: number;
}

/**
 * Picks what a peer lacks.
 *
 * @param known - What this box knows.
 * @param progress - How far the peer is.
 * @returns What it takes over.
 */
export function selectSharedState(
  { configuration, leafs, news, leafsRevision, nowMs }: ClusterStateSnapshot,
  progress: SyncProgress,
): SharedState {
  const since = news.since(progress.leafsRevision);
  const lapsed = [...leafs.expiresAtMs].map(([leafId, atMs]) => ({ leafId, leftMs: atMs - nowMs }));
  const changed = since?.changed.flatMap((leafId) => leafs.byId.get(leafId) ?? []);
  const isNewer = (configuration?.version ?? 0) > progress.configurationVersion;
  return {
    ...(configuration !== undefined && isNewer ? { configuration } : {}),
    leafs: changed ?? [...leafs.byId.values()],
    ...(since === undefined ? {} : { removed: since.removed.filter((id) => !leafs.byId.has(id)) }),
    lapsed,
    leafsRevision,
  };
}

/**
 * Takes in leafs that a peer handed over.
 *
 * @param table - Leafs known so far.
 * @param shared - What was handed over.
 * @param nowMs - The present moment.
 * @returns The table after that.
 */
export function applySharedState(
  table: LeafTable,
  { leafs, removed, lapsed }: SharedState,
  nowMs: number,
): LeafTable {
  const atOnce = { nowMs, graceMs: 0 };
  const taken =
    removed === undefined
      ? applyLeafList(table, leafs, atOnce)
      : applyLeafChanges(table, { changed: leafs, removed }, atOnce);
  return lapsed.reduce((now, { leafId, leftMs }) => {
    const options = { nowMs, graceMs: Math.max(1, leftMs) };
    return applyLeafChanges(now, { changed: [], removed: [leafId] }, options);
  }, taken);
}

/**
 * Writes what is handed over.
 *
 * @param shared - What is handed over.
 * @returns Its bytes.
 */
export function encodeSharedState(shared: SharedState): Buffer {
  return deflateRawSync(JSON.stringify(shared));
}

/**
 * Reads what a peer handed over.
 *
 * @param bytes - What it wrote.
 * @returns What was handed over.
 * @throws Where the bytes are no such thing.
 */
export function decodeSharedState(bytes: Buffer): SharedState {
  const text = inflateRawSync(bytes, { maxOutputLength: MAX_SHARED_BYTES }).toString("utf8");
  const data: unknown = JSON.parse(text);
  if (!isSharedState(data)) {
    throw new Error("Cannot read what the peer handed over: not as agreed");
  }
  return data;
}

/**
 * Writes the path by which a peer is asked.
 *
 * @param progress - How far this box is.
 * @returns Path and query.
 */
export function clusterStateUrl({ configurationVersion, leafsRevision }: SyncProgress): string {
  return `${CLUSTER_STATE_PATH}?configuration=${configurationVersion}&leafs=${leafsRevision}`;
}

/**
 * Reads how far the peer is that asks.
 *
 * @param url - Path and query.
 * @returns How far it is; nowhere where it does not say.
 */
export function decodeClusterStateUrl(url: string): SyncProgress {
  const query = new URLSearchParams(url.split("?")[1] ?? "");
  return {
    configurationVersion: Number(query.get("configuration") ?? 0) || 0,
    leafsRevision: Number(query.get("leafs") ?? 0) || 0,
  };
}
