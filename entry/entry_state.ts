/**
 * State of the entry's core.
 *
 * @module
 */
import { Map as ImmutableMap, Set as ImmutableSet } from "immutable";
import { type ControlOptions, type ControlState, newControl } from "../control/mod.js";
import type { Step } from "../core/mod.js";
import type { QuantileEstimate } from "../latency/mod.js";
import type { ExtraLoadBudget, LimitShare, TokenBucket } from "../limits/mod.js";
import type { MissingReason, QueryRequest } from "../model/mod.js";
import type { Placement } from "../policy/mod.js";
import type { SnapshotGroup } from "../query/mod.js";
import { createTicketRegistry, type TicketPosition, type TicketRegistry } from "../tickets/mod.js";
import type { EntryEffect } from "./entry_messages.js";
import type { LeafView } from "./leaf_view.js";

/** One attempt of a fetch at a leaf. */
export interface Attempt {
  readonly callId: string;
  readonly leafId: string;
  readonly poolId: string;
  readonly sentAtMs: number;
  readonly purpose: "first" | "hedge" | "retry";
  /** Whether its result has not arrived yet. */
  readonly pending: boolean;
  /** Whether it is known not to have run. */
  readonly notRun: boolean;
}

/** Retrieval of one shard's rows for one or more identical queries. */
export interface Fetch {
  readonly fetchId: string;
  /** Service, snapshot, rights, request and shard; empty if the fetch must not be shared. */
  readonly shareKey: string;
  /** Hash of `shareKey`. */
  readonly shareHash: number;
  /** Scope of rights of the calls. */
  readonly rights: string;
  readonly service: string;
  readonly snapshot: string;
  readonly shard: string;
  readonly leafIds: ReadonlyArray<string>;
  readonly bodyJson: string;
  readonly repeatable: boolean;
  readonly placement: Placement;
  readonly retriesLeft: number;
  readonly deadlineAtMs: number;
  readonly priorityRank: number;
  /** IDs of the queries that wait for it. */
  readonly waiters: ReadonlyArray<string>;
  readonly attempts: ReadonlyArray<Attempt>;
  readonly startedAtMs: number;
  /** Why the last attempt failed. */
  readonly lastReason: MissingReason;
  readonly lastRetryAfterMs: number;
  /** Since when it has waited for a pool, as none is connected; `undefined` if it does not wait. */
  readonly awaitsPoolSinceMs: number | undefined;
}

/** One caller's query in flight. */
export interface Query {
  readonly queryId: string;
  readonly request: QueryRequest;
  readonly bodyJson: string;
  readonly revision: number;
  readonly arrivedAtMs: number;
  /** When its shards were requested; 0 while it is queued. */
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly finishCoverage: number;
  readonly retries: number;
  readonly placement: Placement;
  /** Snapshot that is being read. */
  readonly group: SnapshotGroup;
  /** Snapshot read before the query was restarted, if it was. */
  readonly earlierGroup: SnapshotGroup | undefined;
  /** ID of the fetch of each unsettled shard. */
  readonly fetchIds: ImmutableMap<string, string>;
  readonly retryAfterMs: number;
  /** Whether any part of the query has run or may have run. */
  readonly mayHaveRun: boolean;
  readonly ticketPosition: TicketPosition | undefined;
  /** Key that identical queries have in common; empty if the query must not be joined. */
  readonly joinKey: string;
  readonly joinHash: number;
  /**
   * IDs of identical queries and of repeats under the same ticket that wait for the same answer.
   */
  readonly joinedQueryIds: ReadonlyArray<string>;
}

/** State of the entry's core. */
export interface EntryState {
  readonly control: ControlState;
  readonly queries: ImmutableMap<string, Query>;
  readonly fetches: ImmutableMap<string, Fetch>;
  /** IDs of shareable fetches by hash of their key; the key itself is compared too. */
  readonly fetchByHash: ImmutableMap<number, string>;
  /** IDs of joinable queries by hash of their key. */
  readonly queryByHash: ImmutableMap<number, string>;
  readonly leafViews: ImmutableMap<string, LeafView>;
  readonly openPools: ImmutableSet<string>;
  /** Pools that sent nothing while calls were pending; cleared by their next message. */
  readonly unresponsivePools: ImmutableSet<string>;
  /** Time of the last message from each pool. */
  readonly poolLastContactAtMs: ImmutableMap<string, number>;
  readonly extraLoadBudgets: ImmutableMap<string, ExtraLoadBudget>;
  readonly hedgeDelays: ImmutableMap<string, QuantileEstimate>;
  readonly serviceShares: ImmutableMap<string, LimitShare>;
  readonly callerBuckets: ImmutableMap<string, TokenBucket>;
  readonly inFlightByService: ImmutableMap<string, number>;
  /** Number of fetches in flight by service. */
  readonly fetchesByService: ImmutableMap<string, number>;
  /** Number of urgent queries in flight. */
  readonly urgentInFlight: number;
  /** IDs of the queries that wait to be started, the next one first. */
  readonly waitingIds: ReadonlyArray<string>;
  /** Mean time from start to answer by service, in milliseconds. */
  readonly meanQueryMs: ImmutableMap<string, number>;
  readonly tickets: TicketRegistry;
  /** ID of the next fetch; never reused within an incarnation. */
  readonly nextId: number;
}

/** One step of the entry's core. */
export type EntryStep = Step<EntryState, EntryEffect>;

/**
 * Creates the state of an entry that has not started yet.
 *
 * @param options - Settings of its control slice.
 * @returns The state.
 */
export function newEntryState(options: ControlOptions): EntryState {
  return {
    control: newControl(options),
    queries: ImmutableMap(),
    fetches: ImmutableMap(),
    fetchByHash: ImmutableMap(),
    queryByHash: ImmutableMap(),
    leafViews: ImmutableMap(),
    openPools: ImmutableSet(),
    unresponsivePools: ImmutableSet(),
    poolLastContactAtMs: ImmutableMap(),
    extraLoadBudgets: ImmutableMap(),
    hedgeDelays: ImmutableMap(),
    serviceShares: ImmutableMap(),
    callerBuckets: ImmutableMap(),
    inFlightByService: ImmutableMap(),
    fetchesByService: ImmutableMap(),
    urgentInFlight: 0,
    waitingIds: [],
    meanQueryMs: ImmutableMap(),
    tickets: createTicketRegistry(options.self.incarnation),
    nextId: 1,
  };
}
