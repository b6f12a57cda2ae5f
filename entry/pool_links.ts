/**
 * The entry's streams to pools. Calls made in one turn of the event loop are sent as one message
 * per pool.
 *
 * @module
 */

import type { Member } from "../model/mod.js";
import type { CallBatch } from "../peer/gen/rackvale/peer/v1/peer_pb.js";
import {
  decodeReport,
  decodeResult,
  encodeCalls,
  type PeerClient,
  PushQueue,
  peerClient,
} from "../peer/mod.js";
import type { CallResult, EntryEvent, LeafCall } from "./entry_messages.js";

/** Delay before a closed stream is reopened, in milliseconds. */
const REOPEN_DELAY_MS = 250;

interface Link {
  readonly member: Member;
  readonly client: PeerClient;
  readonly queue: PushQueue<CallBatch>;
  calls: Array<LeafCall>;
  cancelled: Array<string>;
  flushing: boolean;
  open: boolean;
  closed: boolean;
}

/** Dependencies of {@link PoolLinks}. */
export interface PoolLinksOptions {
  /** Incarnation of the entry, which identifies its streams. */
  readonly entryId: string;
  readonly send: (event: EntryEvent) => void;
  readonly nowMs: () => number;
}

/** Streams to pools, by member. */
export class PoolLinks {
  readonly #options: PoolLinksOptions;
  readonly #links = new Map<string, Link>();
  #pools: ReadonlyMap<string, Member> = new Map();

  /**
   * @param options - Incarnation of the entry, event receiver and clock.
   */
  constructor(options: PoolLinksOptions) {
    this.#options = options;
  }

  /**
   * Opens streams to these pools and closes the others.
   *
   * @param pools - Pools in use.
   */
  setPools(pools: ReadonlyArray<Member>): void {
    this.#pools = new Map(pools.map((pool) => [pool.memberId, pool]));
    for (const link of [...this.#links.values()]) {
      if (this.#pools.get(link.member.memberId)?.incarnation !== link.member.incarnation) {
        this.#close(link);
      }
    }
    for (const pool of pools) {
      this.#open(pool);
    }
  }

  /**
   * Sends a call.
   *
   * @param poolId - Pool that owns the leaf.
   * @param call - The call.
   */
  sendCall(poolId: string, call: LeafCall): void {
    const link = this.#links.get(poolId);
    if (link === undefined) {
      const result = {
        kind: "refused",
        callId: call.callId,
        reason: "pool lost",
        retryAfterMs: 0,
      } as const;
      setImmediate(() => this.#reportResult(poolId, result));
      return;
    }
    link.calls.push(call);
    this.#flushSoon(link);
  }

  /**
   * Cancels a call. A call that has not been sent yet is still sent, and the pool drops it.
   *
   * @param poolId - Pool that the call is sent to.
   * @param callId - The call.
   */
  cancelCall(poolId: string, callId: string): void {
    const link = this.#links.get(poolId);
    if (link !== undefined) {
      link.cancelled.push(callId);
      this.#flushSoon(link);
    }
  }

  /** Closes all streams. */
  close(): void {
    this.#pools = new Map();
    for (const link of [...this.#links.values()]) {
      this.#close(link);
    }
  }

  #reportResult(poolId: string, result: CallResult): void {
    const { send, nowMs } = this.#options;
    send({ kind: "resultsArrived", nowMs: nowMs(), poolId, results: [result], reports: [] });
  }

  #open(member: Member): void {
    if (this.#links.has(member.memberId)) {
      return;
    }
    const link: Link = {
      member,
      client: peerClient(member),
      queue: new PushQueue(),
      calls: [],
      cancelled: [],
      flushing: false,
      open: false,
      closed: false,
    };
    this.#links.set(member.memberId, link);
    link.queue.push(encodeCalls(this.#options.entryId, [], { cancelledCallIds: [] }));
    void this.#run(link);
  }

  async #run(link: Link): Promise<void> {
    const { send, nowMs } = this.#options;
    const poolId = link.member.memberId;
    try {
      const batches = link.client.rpc.calls(link.queue, {
        onHeader: () => {
          if (!link.closed) {
            link.open = true;
            send({ kind: "poolOpened", nowMs: nowMs(), poolId });
          }
        },
      });
      for await (const batch of batches) {
        send({
          kind: "resultsArrived",
          nowMs: nowMs(),
          poolId,
          results: batch.results.map(decodeResult),
          reports: batch.reports.map(decodeReport),
        });
      }
    } catch {
      // Closing the link below reports the disconnection to the core.
    }
    this.#close(link);
    setTimeout(() => {
      const pool = this.#pools.get(poolId);
      if (pool !== undefined) {
        this.#open(pool);
      }
    }, REOPEN_DELAY_MS);
  }

  #close(link: Link): void {
    if (link.closed) {
      return;
    }
    link.closed = true;
    this.#links.delete(link.member.memberId);
    link.queue.end();
    link.client.close();
    const { send, nowMs } = this.#options;
    send({ kind: "poolLost", nowMs: nowMs(), poolId: link.member.memberId });
  }

  #flushSoon(link: Link): void {
    if (!link.flushing) {
      link.flushing = true;
      setImmediate(() => this.#flush(link));
    }
  }

  #flush(link: Link): void {
    link.flushing = false;
    const batch = encodeCalls("", link.calls, { cancelledCallIds: link.cancelled });
    link.calls = [];
    link.cancelled = [];
    link.queue.push(batch);
  }
}
