/**
 * What a box hands to a peer that is behind: the configuration, and the leafs that have changed.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Progress } from "../fleet/mod.js";
import { applyLeafChanges, applyLeafList, type LeafTable } from "../leafs/mod.js";
import type { Configuration } from "../routing/mod.js";
import { isSharedKnowledge, type SharedKnowledge } from "./_shared_fields.js";
import type { LeafNews } from "./leaf_news.js";

export type { LapsedLeaf, SharedKnowledge } from "./_shared_fields.js";

/** Path at which peers hand over what they know. */
export const KNOWLEDGE_PATH = "/peer/v1/knowledge";

/** Largest answer taken, inflated, in bytes: far above a configuration and thousands of leafs. */
const MAX_SHARED_BYTES = 64 * 1_048_576;

/** What a box knows. */
export interface KnownState {
  readonly configuration: Configuration | undefined;
  readonly leafs: LeafTable;
  readonly news: LeafNews;
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
export function shareKnowledge(
  { configuration, leafs, news, leafsRevision, nowMs }: KnownState,
  progress: Progress,
): SharedKnowledge {
  const since = news.since(progress.leafsRevision);
  const lapsed = [...leafs.dropAtMs].map(([leafId, atMs]) => ({ leafId, leftMs: atMs - nowMs }));
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
export function applyShared(
  table: LeafTable,
  { leafs, removed, lapsed }: SharedKnowledge,
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
export function encodeShared(shared: SharedKnowledge): Buffer {
  return deflateRawSync(JSON.stringify(shared));
}

/**
 * Reads what a peer handed over.
 *
 * @param bytes - What it wrote.
 * @returns What was handed over.
 * @throws Where the bytes are no such thing.
 */
export function decodeShared(bytes: Buffer): SharedKnowledge {
  const text = inflateRawSync(bytes, { maxOutputLength: MAX_SHARED_BYTES }).toString("utf8");
  const data: unknown = JSON.parse(text);
  if (!isSharedKnowledge(data)) {
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
export function knowledgeUrl({ configurationVersion, leafsRevision }: Progress): string {
  return `${KNOWLEDGE_PATH}?configuration=${configurationVersion}&leafs=${leafsRevision}`;
}

/**
 * Reads how far the peer is that asks.
 *
 * @param url - Path and query.
 * @returns How far it is; nowhere where it does not say.
 */
export function decodeKnowledgeUrl(url: string): Progress {
  const query = new URLSearchParams(url.split("?")[1] ?? "");
  return {
    configurationVersion: Number(query.get("configuration") ?? 0) || 0,
    leafsRevision: Number(query.get("leafs") ?? 0) || 0,
  };
}
