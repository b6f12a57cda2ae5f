/**
 * Test harness for the entry's core: one service and one pool, without a shell.
 *
 * @module
 */
import type {
  BoxListEntry,
  CatalogObject,
  Member,
  QueryAnswer,
  QueryRequest,
  ServiceConfig,
  ShardMap,
} from "../model/mod.js";
import { parseQueryRequest } from "../model/mod.js";
import { stepEntry } from "./entry_core.js";
import type { CallResult, EntryEffect, EntryEvent, LeafCall } from "./entry_messages.js";
import { type EntryState, newEntryState } from "./entry_state.js";

/** An event without its timestamp. */
export type EventWithoutTime = EntryEvent extends infer E
  ? E extends EntryEvent
    ? Omit<E, "nowMs">
    : never
  : never;

/** Service, shard map and box list that the harness sets up. */
export interface HarnessOptions {
  readonly config: ServiceConfig;
  readonly shardMap: ShardMap;
  readonly boxes?: ReadonlyArray<BoxListEntry>;
}

/**
 * Creates a member for tests.
 *
 * @param memberId - Member ID, in the form `box/role`.
 * @param change - Fields that differ from the default, an alive member.
 * @returns The member.
 */
export function testMember(memberId: string, change: Partial<Member> = {}): Member {
  const [box = "", role = "entry"] = memberId.split("/");
  return {
    memberId,
    incarnation: `${memberId}-1`,
    startedAtEpochMs: 1,
    version: 1,
    state: "alive",
    role: role === "pool" ? "pool" : "entry",
    box,
    dataCentre: "dc-1",
    address: "127.0.0.1",
    peerPort: 1,
    callerPort: 1,
    ...change,
  };
}

/**
 * Creates a catalog object for tests.
 *
 * @param kind - Kind of the object.
 * @param name - Name of the object.
 * @param value - Value of the object; its revision is 1.
 * @returns The object.
 */
export function testObject(
  kind: CatalogObject["kind"],
  name: string,
  value: unknown,
): CatalogObject {
  return { kind, name, revision: 1, deleted: false, history: [], value };
}

/** An entry's core with one open pool, ready for queries. */
export class CoreHarness {
  state: EntryState;
  nowMs = 1_000;
  readonly effects: Array<EntryEffect> = [];

  /**
   * @param options - Service, shard map and box list.
   */
  constructor({ config, shardMap, boxes = [] }: HarnessOptions) {
    this.state = newEntryState({ self: testMember("box-1/entry"), seeds: [] });
    const objects = [
      testObject("service", config.service, config),
      testObject("shardmap", config.service, shardMap),
    ];
    const boxList = { version: 1, boxes };
    this.send({ kind: "started" });
    this.send({ kind: "platformAnswered", objects, boxList, complete: true });
    this.send({
      kind: "exchangeArrived",
      requestId: 1,
      exchange: {
        self: testMember("box-2/pool"),
        members: [],
        catalogHash: this.state.control.catalog.hash,
        revisions: [],
        confirmedAgoMs: 0,
        joining: false,
      },
    });
    this.send({ kind: "controlTick" });
    this.send({ kind: "poolOpened", poolId: "box-2/pool" });
    this.effects.length = 0;
  }

  /**
   * Sends an event to the core at the harness's current time.
   *
   * @param event - The event.
   * @returns Effects of the event.
   */
  send(event: EventWithoutTime): ReadonlyArray<EntryEffect> {
    const result = stepEntry(this.state, { ...event, nowMs: this.nowMs } as EntryEvent);
    this.state = result.state;
    this.effects.push(...result.effects);
    return result.effects;
  }

  /**
   * Sends a query.
   *
   * @param queryId - ID of the query.
   * @param fields - Fields that differ from the default query.
   * @returns Calls sent to leafs.
   */
  query(queryId: string, fields: Partial<QueryRequest>): ReadonlyArray<LeafCall> {
    const defaults = {
      service: "wide",
      caller: "caller",
      deadlineMs: 500,
      body: { mark: queryId },
    };
    const request = parseQueryRequest({ ...defaults, ...fields })._unsafeUnwrap();
    return callsIn(this.send({ kind: "queryArrived", queryId, request, forwarded: false }));
  }

  /**
   * Delivers the result of a call.
   *
   * @param result - The result.
   * @returns Calls sent to leafs in response.
   */
  deliver(result: CallResult): ReadonlyArray<LeafCall> {
    const poolId = "box-2/pool";
    return callsIn(this.send({ kind: "resultsArrived", poolId, results: [result], reports: [] }));
  }

  /**
   * Returns the answers to a query so far.
   *
   * @param queryId - The query.
   * @returns The answers.
   */
  answersTo(queryId: string): ReadonlyArray<QueryAnswer> {
    return this.effects.flatMap((effect) =>
      effect.kind === "answer" && effect.queryId === queryId ? [effect.answer] : [],
    );
  }

  /** Invariants that the core has reported as violated. */
  get invariantViolations(): ReadonlyArray<string> {
    return this.effects.flatMap((effect) =>
      effect.kind === "log" && effect.component === "invariant" ? [effect.message] : [],
    );
  }
}

function callsIn(effects: ReadonlyArray<EntryEffect>): ReadonlyArray<LeafCall> {
  return effects.flatMap((effect) => (effect.kind === "sendCall" ? [effect.call] : []));
}

/**
 * Creates a service configuration with one backend server per leaf.
 *
 * @param leafCount - Number of leafs.
 * @param change - Fields that differ from the default configuration.
 * @returns The configuration.
 */
export function testConfig(leafCount: number, change: Partial<ServiceConfig> = {}): ServiceConfig {
  return {
    service: "wide",
    backendServers: Array.from({ length: leafCount }, (_, index) => ({
      serverId: `server-${index}`,
      box: `server-box-${index}`,
      address: "127.0.0.1",
      dataCentre: "dc-1",
      leafs: [{ leafId: `leaf-${index}`, port: 1, slots: 2, maxConnections: 25 }],
    })),
    policies: {},
    limits: { requestsPerSecond: 0, burstRequests: 100, extraLoadShare: 0.1 },
    ...change,
  };
}

/**
 * Creates a shard map in which each shard has two replicas.
 *
 * @param shardCount - Number of shards.
 * @param leafCount - Number of leafs.
 * @returns The shard map.
 */
export function testShardMap(shardCount: number, leafCount: number): ShardMap {
  const shards = Array.from({ length: shardCount }, (_, index) => ({
    shard: `s${index}`,
    leafIds: [`leaf-${index % leafCount}`, `leaf-${(index + 1) % leafCount}`],
  }));
  return { service: "wide", currentSnapshot: "v1", snapshots: [{ snapshot: "v1", shards }] };
}
