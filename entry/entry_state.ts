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

/** One try of a fetch at a leaf. */
export interface Attempt {
  readonly callId: string;
  readonly leafId: string;
  readonly poolId: string;
  readonly sentAtMs: number;
  readonly purpose: "first" | "hedge" | "retry";
  /** Whether its result is still awaited. */
  readonly pending: boolean;
  /** Whether it is known not to have run. */
  readonly notRun: boolean;
}

/** One shard's part of one or more queries that ask the same of it. */
export interface Fetch {
  readonly fetchId: string;
  /** Service, snapshot, shard, rights and request; empty when it may not be shared. */
  readonly shareKey: string;
  /** Hash of the key. */
  readonly shareHash: number;
  /** Scope of rights that the leaf answers under. */
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
  /** Queries that wait for it. */
  readonly waiters: ReadonlyArray<string>;
  readonly attempts: ReadonlyArray<Attempt>;
  readonly startedAtMs: number;
  /** Why the last attempt brought nothing. */
  readonly lastReason: MissingReason;
  readonly lastRetryAfterMs: number;
}

/** One caller's query in flight. */
export interface Query {
  readonly queryId: string;
  readonly request: QueryRequest;
  readonly bodyJson: string;
  readonly revision: number;
  readonly arrivedAtMs: number;
  /** When its shards were asked for; 0 while it waits. */
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly finishCoverage: number;
  readonly retries: number;
  readonly placement: Placement;
  /** Snapshot that is being read. */
  readonly group: SnapshotGroup;
  /** Snapshot read before, where the query had to start over. */
  readonly earlierGroup: SnapshotGroup | undefined;
  /** Fetch of each shard that is not settled. */
  readonly fetchIds: ImmutableMap<string, string>;
  readonly retryAfterMs: number;
  /** Whether a part of the query is known to have run or may have. */
  readonly mayHaveRun: boolean;
  readonly ticketPlace: TicketPosition | undefined;
  /** All that an identical query must have in common; empty when it may not be joined. */
  readonly joinKey: string;
  readonly joinHash: number;
  /** Identical queries, or repeats under the same ticket, that wait for the same answer. */
  readonly joinedQueryIds: ReadonlyArray<string>;
}

/** The whole state of an entry. */
export interface EntryState {
  readonly control: ControlState;
  readonly queries: ImmutableMap<string, Query>;
  readonly fetches: ImmutableMap<string, Fetch>;
  /** Fetches that may be shared, by the hash of their key; the key itself is compared too. */
  readonly fetchByHash: ImmutableMap<number, string>;
  /** Running queries that identical ones may join, by the hash of their key. */
  readonly queryByHash: ImmutableMap<number, string>;
  readonly leafViews: ImmutableMap<string, LeafView>;
  readonly openPools: ImmutableSet<string>;
  /** Pools that kept calls waiting without a word; cleared by the next word. */
  readonly silentPools: ImmutableSet<string>;
  /** When each pool last sent anything. */
  readonly poolHeardAtMs: ImmutableMap<string, number>;
  readonly extraLoad: ImmutableMap<string, ExtraLoadBudget>;
  readonly hedgeDelays: ImmutableMap<string, QuantileEstimate>;
  readonly serviceShares: ImmutableMap<string, LimitShare>;
  readonly callerBuckets: ImmutableMap<string, TokenBucket>;
  readonly inFlightByService: ImmutableMap<string, number>;
  /** Fetches in flight by service. */
  readonly fetchesByService: ImmutableMap<string, number>;
  /** Urgent queries in flight. */
  readonly urgentInFlight: number;
  /** Queries that wait to be started, the next one first. */
  readonly waitingIds: ReadonlyArray<string>;
  /** Mean time from start to answer by service, in milliseconds. */
  readonly queryTimes: ImmutableMap<string, number>;
  readonly tickets: TicketRegistry;
  /** Counts fetches and calls; never reused within an incarnation. */
  readonly nextId: number;
}

/** One step of the entry's core. */
export type EntryStep = Step<EntryState, EntryEffect>;

/**
 * Makes the state of an entry that has not started yet.
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
    silentPools: ImmutableSet(),
    poolHeardAtMs: ImmutableMap(),
    extraLoad: ImmutableMap(),
    hedgeDelays: ImmutableMap(),
    serviceShares: ImmutableMap(),
    callerBuckets: ImmutableMap(),
    inFlightByService: ImmutableMap(),
    fetchesByService: ImmutableMap(),
    urgentInFlight: 0,
    waitingIds: [],
    queryTimes: ImmutableMap(),
    tickets: createTicketRegistry(options.self.incarnation),
    nextId: 1,
  };
}
