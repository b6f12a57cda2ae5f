/**
 * State that a box sends to a peer whose own is older: the configuration, and the leafs that have
 * changed.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { SyncProgress } from "../fleet/mod.js";
import { applyLeafChanges, applyLeafList, type Leaf, type LeafTable } from "../leafs/mod.js";
import type { Configuration } from "../routing/mod.js";
import {
  isLeaf,
  isReceivedState,
  type ReceivedState,
  type SharedState,
} from "./_shared_state_fields.js";
import type { LeafChangeLog } from "./leaf_change_log.js";

export type {
  ExpiredLeaf,
  SharedState,
} from "./_shared_state_fields.js";

/** HTTP path at which a box serves its state to peers. */
export const CLUSTER_STATE_PATH = "/peer/v1/knowledge";

/** Maximum size of an inflated response, in bytes. */
const MAX_SHARED_STATE_BYTES = 64 * 1_048_576;

/** State of a box from which shared state is selected. */
export interface ClusterStateSnapshot {
  readonly configuration: Configuration | undefined;
  readonly leafs: LeafTable;
  readonly changeLog: LeafChangeLog;
  readonly leafsRevision: number;
  readonly nowMs: number;
}

/**
 * Selects the state that a peer lacks.
 *
 * @param snapshot - State of this box.
 * @param progress - Versions that the peer has.
 * @returns The state to send to the peer.
 */
export function selectSharedState(
  { configuration, leafs, changeLog, leafsRevision, nowMs }: ClusterStateSnapshot,
  progress: SyncProgress,
): SharedState {
  const since = changeLog.since(progress.leafsRevision);
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
 * Merges the leafs of a peer into a table.
 *
 * @param table - Current leafs.
 * @param shared - State received from the peer.
 * @param nowMs - Current time, in milliseconds.
 * @returns The updated table.
 */
export function applySharedState(
  table: LeafTable,
  { leafs, removed, lapsed }: SharedState,
  nowMs: number,
): LeafTable {
  const withoutGrace = { nowMs, graceMs: 0 };
  const merged =
    removed === undefined
      ? applyLeafList(table, leafs, withoutGrace)
      : applyLeafChanges(table, { changed: leafs, removed }, withoutGrace);
  return lapsed.reduce((current, { leafId, leftMs }) => {
    const options = { nowMs, graceMs: Math.max(1, leftMs) };
    return applyLeafChanges(current, { changed: [], removed: [leafId] }, options);
  }, merged);
}

/**
 * Subtracts the time for which a response may have been under way from the time limits in it.
 *
 * @param shared - State received from a peer.
 * @param elapsedMs - Time since the request for it was sent, in milliseconds.
 * @returns The state with shorter time limits.
 */
export function shortenTimeLimits(shared: SharedState, elapsedMs: number): SharedState {
  const lapsed = shared.lapsed.map(({ leafId, leftMs }) => {
    return { leafId, leftMs: Math.max(0, leftMs - elapsedMs) };
  });
  return { ...shared, lapsed };
}

/**
 * Encodes shared state.
 *
 * @param shared - State to encode.
 * @returns Deflated JSON.
 */
export function encodeSharedState(shared: SharedState): Buffer {
  return deflateRawSync(JSON.stringify(shared));
}

/** Options of {@link decodeSharedState}. */
export interface DecodeSharedStateOptions {
  /** Called with the number of invalid leafs if there are any. */
  readonly onInvalidLeafs?: (count: number) => void;
}

/**
 * Decodes shared state. An invalid leaf counts as removed and does not affect the others, as a peer
 * of another build may accept entries that this build does not.
 *
 * @param bytes - Bytes received from a peer.
 * @param options - Callback that reports invalid leafs.
 * @returns The decoded state.
 * @throws If the bytes cannot be inflated or parsed, or contain another invalid value.
 */
export function decodeSharedState(
  bytes: Buffer,
  { onInvalidLeafs }: DecodeSharedStateOptions = {},
): SharedState {
  const text = inflateRawSync(bytes, { maxOutputLength: MAX_SHARED_STATE_BYTES }).toString("utf8");
  const data: unknown = JSON.parse(text);
  if (!isReceivedState(data)) {
    throw new Error("Cannot decode shared state: invalid value");
  }
  const { leafs, invalidIds, invalidCount } = checkLeafs(data.leafs);
  if (invalidCount > 0) {
    onInvalidLeafs?.(invalidCount);
  }
  const { removed, ...received } = { ...data, leafs };
  return removed === undefined ? received : { ...received, removed: [...removed, ...invalidIds] };
}

/** Leafs that a peer has sent, after their validation. */
interface CheckedLeafs {
  readonly leafs: ReadonlyArray<Leaf>;
  /** Ids of the invalid ones, as far as they are readable. */
  readonly invalidIds: ReadonlyArray<string>;
  readonly invalidCount: number;
}

function checkLeafs(received: ReceivedState["leafs"]): CheckedLeafs {
  const leafs: Array<Leaf> = [];
  const invalid: Array<unknown> = [];
  for (const leaf of received) {
    if (isLeaf(leaf)) {
      leafs.push(leaf);
    } else {
      invalid.push(leaf);
    }
  }
  const invalidIds = invalid.map(leafIdOf).filter((leafId) => leafId !== undefined);
  return { leafs, invalidIds, invalidCount: invalid.length };
}

function leafIdOf(leaf: unknown): string | undefined {
  const leafId = (leaf as Partial<Leaf> | null)?.leafId;
  return typeof leafId === "string" ? leafId : undefined;
}

/**
 * Builds the URL path to request state from a peer.
 *
 * @param progress - Versions that this box has.
 * @returns Path and query.
 */
export function clusterStateUrl({ configurationVersion, leafsRevision }: SyncProgress): string {
  return `${CLUSTER_STATE_PATH}?configuration=${configurationVersion}&leafs=${leafsRevision}`;
}

/**
 * Parses the versions that the requesting peer has.
 *
 * @param url - Path and query.
 * @returns The versions; 0 for each that is missing or invalid.
 */
export function decodeClusterStateUrl(url: string): SyncProgress {
  const query = new URLSearchParams(url.split("?")[1] ?? "");
  return {
    configurationVersion: Number(query.get("configuration") ?? 0) || 0,
    leafsRevision: Number(query.get("leafs") ?? 0) || 0,
  };
}
