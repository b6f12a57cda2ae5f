/**
 * Fetches state from peers that have newer versions than this box.
 *
 * @module
 */
import { nowMs } from "../clock/mod.js";
import type { SyncProgress } from "../fleet/mod.js";
import type { Member } from "../model/mod.js";
import { boundedRequest } from "../platform/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { ClusterState } from "./cluster_state.js";
import { clusterStateUrl, decodeSharedState, shortenTimeLimits } from "./shared_state.js";

/** Timeout of a request to a peer, in milliseconds. */
const PEER_REQUEST_TIMEOUT_MS = 1_000;

/** Maximum length of a peer's state, in bytes: far above the state of a large installation. */
const MAX_STATE_BYTES = 16 * 1_048_576;

/**
 * Time to wait for an update from the store or a local box before a peer is queried, in
 * milliseconds.
 */
const UPDATE_WAIT_MS = 600;

/** Options of the catch-up. */
export interface PeerCatchUpOptions {
  /** Name of this box. */
  readonly box: string;
  readonly clusterState: Pick<
    ClusterState,
    "isStoreReachable" | "isWatcher" | "progress" | "mergeSharedState"
  >;
  /** Returns whether a box is in this box's region. */
  readonly isLocal: (member: Member) => boolean;
  /**
   * Called after a fetch from a box of another region, to notify the local boxes: they may be
   * waiting for a local box that does not have the update.
   */
  readonly onRemoteUpdate: () => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/** Fetches state from peers that have newer versions, one at a time. */
export class PeerCatchUp {
  readonly #options: PeerCatchUpOptions;
  #fetching = false;
  /** Latest progress that a peer reported during a fetch; it is compared again after the fetch. */
  #deferred: PeerProgress | undefined;

  /**
   * @param options - Options of the catch-up.
   */
  constructor(options: PeerCatchUpOptions) {
    this.#options = options;
  }

  /**
   * Fetches the state of a peer if its versions are newer and this box does not get them from
   * elsewhere in time.
   *
   * @param member - The peer.
   * @param progress - Versions that the peer has.
   */
  catchUp(member: Member, progress: SyncProgress): void {
    const { box, clusterState } = this.#options;
    if (member.memberId === box || !isNewer(progress, clusterState.progress)) {
      return;
    }
    if (this.#fetching) {
      this.#deferred = { member, progress };
      return;
    }
    this.#fetching = true;
    // An unreachable store sends no update, so there is no point in waiting for it.
    const isStoreUpdateExpected = clusterState.isWatcher && clusterState.isStoreReachable;
    const isUpdateExpected = isStoreUpdateExpected || !this.#options.isLocal(member);
    setTimeout(
      () => {
        const fetched = isNewer(progress, clusterState.progress)
          ? this.#fetchFrom(member)
          : Promise.resolve();
        void fetched.finally(() => this.#compareDeferred());
      },
      isUpdateExpected ? UPDATE_WAIT_MS : 0,
    );
  }

  #compareDeferred(): void {
    this.#fetching = false;
    const deferred = this.#deferred;
    this.#deferred = undefined;
    if (deferred !== undefined) {
      this.catchUp(deferred.member, deferred.progress);
    }
  }

  async #fetchFrom(member: Member): Promise<void> {
    const { address, peerPort, box } = member;
    const { clusterState, isLocal, onRemoteUpdate, telemetry } = this.#options;
    const requestedAtMs = nowMs();
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort(new Error("response timeout"));
    }, PEER_REQUEST_TIMEOUT_MS);
    try {
      const response = await boundedRequest(
        { address, port: peerPort },
        {
          method: "GET",
          path: clusterStateUrl(clusterState.progress),
          connectTimeoutMs: PEER_REQUEST_TIMEOUT_MS,
          maxBodyBytes: MAX_STATE_BYTES,
          abort,
        },
      );
      const shared = decodeSharedState(response.body, {
        onInvalidLeafs: (count) => {
          telemetry.event("warn", "fleet: ignored invalid leafs of peer", { member: box, count });
        },
      });
      // The peer stated the limits at some time after the request was sent.
      clusterState.mergeSharedState(shortenTimeLimits(shared, nowMs() - requestedAtMs));
      telemetry.event("info", "fleet: fetched state from peer", { member: box });
      if (!isLocal(member)) {
        onRemoteUpdate();
      }
    } catch (error) {
      const reason = (error as Error).message;
      telemetry.event("warn", "fleet: cannot fetch state from peer", { member: box, reason });
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Versions that a peer has. */
interface PeerProgress {
  readonly member: Member;
  readonly progress: SyncProgress;
}

function isNewer(peer: SyncProgress, own: SyncProgress): boolean {
  return (
    peer.configurationVersion > own.configurationVersion || peer.leafsRevision > own.leafsRevision
  );
}
