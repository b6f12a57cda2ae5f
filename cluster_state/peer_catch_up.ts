/**
 * Takes over from peers what the store has not told this box yet.
 *
 * @module
 */
import { Client } from "undici";
import type { SyncProgress } from "../fleet/mod.js";
import type { Member } from "../model/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { ClusterState } from "./cluster_state.js";
import { clusterStateUrl, decodeSharedState } from "./shared_state.js";

/** Time that a peer has to hand over what it knows, in milliseconds. */
const PEER_ANSWER_MS = 1_000;

/**
 * Time that news has to come from the store, or from a box near, before a peer is asked, in
 * milliseconds.
 */
const PEER_WAIT_MS = 600;

/** What catching up works on. */
export interface PeerCatchUpOptions {
  /** Name of this box. */
  readonly box: string;
  readonly clusterState: Pick<
    ClusterState,
    "isStoreReachable" | "isWatcher" | "progress" | "mergeSharedState"
  >;
  /** Tells whether a box is in this one's region. */
  readonly isLocal: (member: Member) => boolean;
  /**
   * Told after something was taken over from a box of another region. It came sooner than from the
   * boxes near that watch the store, so these may not hear it, and the others near wait for them.
   */
  readonly onRemoteUpdate: () => void;
  readonly telemetry: Pick<BoxTelemetry, "event">;
}

/** Fetches from peers that are ahead, one at a time. */
export class PeerCatchUp {
  readonly #options: PeerCatchUpOptions;
  #fetching = false;
  /** What a peer has told meanwhile; passed over, it would come again only by the regular exchanges. */
  #toldMeanwhile: PeerNews | undefined;

  /**
   * @param options - What catching up works on.
   */
  constructor(options: PeerCatchUpOptions) {
    this.#options = options;
  }

  /**
   * Compares how far a peer is with how far this box is, and fetches where it stays behind.
   *
   * @param member - The peer.
   * @param progress - How far it is.
   */
  catchUp(member: Member, progress: SyncProgress): void {
    const { box, clusterState: knowledge } = this.#options;
    if (member.memberId === box || !isAhead(progress, knowledge.progress)) {
      return;
    }
    if (this.#fetching) {
      this.#toldMeanwhile = { member, progress };
      return;
    }
    this.#fetching = true;
    // A store that is lost tells nothing, and waiting for it would cost a fifth of the time that news has.
    const isStoreExpected = knowledge.isWatcher && knowledge.isStoreReachable;
    const isExpected = isStoreExpected || !this.#options.isLocal(member);
    setTimeout(
      () => {
        const fetched = isAhead(progress, knowledge.progress)
          ? this.#fetchFrom(member)
          : Promise.resolve();
        void fetched.finally(() => this.#compareAgain());
      },
      isExpected ? PEER_WAIT_MS : 0,
    );
  }

  #compareAgain(): void {
    this.#fetching = false;
    const told = this.#toldMeanwhile;
    this.#toldMeanwhile = undefined;
    if (told !== undefined) {
      this.catchUp(told.member, told.progress);
    }
  }

  async #fetchFrom(member: Member): Promise<void> {
    const { address, peerPort, box } = member;
    const {
      isLocal: isNear,
      clusterState: knowledge,
      onRemoteUpdate: onFarNews,
      telemetry,
    } = this.#options;
    const client = new Client(`http://${address}:${peerPort}`);
    try {
      const answer = await client.request({
        method: "GET",
        path: clusterStateUrl(knowledge.progress),
        signal: AbortSignal.timeout(PEER_ANSWER_MS),
      });
      knowledge.mergeSharedState(decodeSharedState(Buffer.from(await answer.body.arrayBuffer())));
      telemetry.event("info", "fleet: took over from peer", { member: box });
      if (!isNear(member)) {
        onFarNews();
      }
    } catch (error) {
      const reason = (error as Error).message;
      telemetry.event("warn", "fleet: cannot take over from peer", { member: box, reason });
    } finally {
      void client.destroy();
    }
  }
}

/** How far a peer is. */
interface PeerNews {
  readonly member: Member;
  readonly progress: SyncProgress;
}

function isAhead(peer: SyncProgress, own: SyncProgress): boolean {
  return (
    peer.configurationVersion > own.configurationVersion || peer.leafsRevision > own.leafsRevision
  );
}
