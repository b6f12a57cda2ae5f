/**
 * Takes over from peers what the store has not told this box yet.
 *
 * @module
 */
import { Client } from "undici";
import type { Progress } from "../fleet/mod.js";
import type { Member } from "../model/mod.js";
import type { BoxTelemetry } from "../telemetry/mod.js";
import type { BoxKnowledge } from "./box_knowledge.js";
import { decodeShared, knowledgeUrl } from "./shared_knowledge.js";

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
  readonly knowledge: Pick<
    BoxKnowledge,
    "isStoreReachable" | "isWatcher" | "progress" | "takeOver"
  >;
  /** Tells whether a box is in this one's region. */
  readonly isNear: (member: Member) => boolean;
  /**
   * Told after something was taken over from a box of another region. It came sooner than from the
   * boxes near that watch the store, so these may not hear it, and the others near wait for them.
   */
  readonly onFarNews: () => void;
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
  compare(member: Member, progress: Progress): void {
    const { box, knowledge } = this.#options;
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
    const isExpected = isStoreExpected || !this.#options.isNear(member);
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
      this.compare(told.member, told.progress);
    }
  }

  async #fetchFrom(member: Member): Promise<void> {
    const { address, peerPort, box } = member;
    const { isNear, knowledge, onFarNews, telemetry } = this.#options;
    const client = new Client(`http://${address}:${peerPort}`);
    try {
      const answer = await client.request({
        method: "GET",
        path: knowledgeUrl(knowledge.progress),
        signal: AbortSignal.timeout(PEER_ANSWER_MS),
      });
      knowledge.takeOver(decodeShared(Buffer.from(await answer.body.arrayBuffer())));
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
  readonly progress: Progress;
}

function isAhead(peer: Progress, own: Progress): boolean {
  return (
    peer.configurationVersion > own.configurationVersion || peer.leafsRevision > own.leafsRevision
  );
}
