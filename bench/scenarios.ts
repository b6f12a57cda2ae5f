/**
 * Scenarios of the benchmark.
 *
 * @module
 */
import type { Fleet } from "../standins/mod.js";
import { delay } from "../standins/mod.js";
import { type PlannedQuery, steadyLoad } from "./open_loop.js";

/** An action during a scenario. */
export interface Action {
  readonly atMs: number;
  readonly run: (fleet: Fleet) => Promise<unknown>;
}

/** A scenario of the benchmark. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  readonly service: "bidscope" | "desk-api" | "payout-ledger";
  /** Whether the naive mode runs it too; that mode has no boxes to restart and no platform. */
  readonly hasNaive: boolean;
  readonly load: ReadonlyArray<PlannedQuery>;
  /** Whether the addresses of entries change during the scenario. */
  readonly replacesEntries?: boolean;
  /** Sets up the conditions of the scenario. */
  readonly setUp?: (fleet: Fleet) => Promise<unknown>;
  readonly actions?: ReadonlyArray<Action>;
  /** Restores normal conditions. */
  readonly tearDown?: (fleet: Fleet) => Promise<unknown>;
}

/** Duration of a scenario, in milliseconds. */
const RUN_MS = 6_000;

/** Rate of distinct queries per second, each to 40 shards. */
const STEADY_RATE = 50;

/** Number of traders that send a query at the same time. */
const TRADER_COUNT = 240;

/** Number of distinct queries among them. */
const DISTINCT_QUERY_COUNT = 24;

/** Period in which the queries of the traders arrive, in milliseconds. */
const BURST_MS = 50;

let markCount = 0;

function uniqueBody(extra: object = {}) {
  return () => {
    markCount += 1;
    return { caller: "trader", deadlineMs: 1_000, body: { mark: `u${markCount}` }, ...extra };
  };
}

function steady(service: Scenario["service"], perSecond: number, extra: object = {}) {
  return steadyLoad({
    service,
    kind: "steady",
    perSecond,
    fromMs: 0,
    untilMs: RUN_MS,
    body: uniqueBody(extra),
  });
}

/** Plans a burst of queries by all traders, some of them identical and with the same rights. */
function gateClosure(atMs: number): ReadonlyArray<PlannedQuery> {
  markCount += 1;
  const round = markCount;
  return Array.from({ length: TRADER_COUNT }, (_, index) => ({
    atMs: atMs + (index * BURST_MS) / TRADER_COUNT,
    service: "bidscope",
    kind: "gate closure",
    body: {
      caller: `trader-${index}`,
      rights: "market",
      deadlineMs: 1_000,
      body: { mark: `g${round}-${index % DISTINCT_QUERY_COUNT}` },
    },
  }));
}

/** Plans urgent queries of dispatchers for the best rows. */
function frequencyEvent(kind: string, atMs: number): ReadonlyArray<PlannedQuery> {
  return steadyLoad({
    service: "bidscope",
    kind,
    perSecond: 100,
    fromMs: atMs,
    untilMs: atMs + 500,
    body: uniqueBody({
      priority: "urgent",
      merge: { orderBy: "price", limitRows: 5 },
    }),
  });
}

async function setHallSlowdown(fleet: Fleet, hall: number, factor: number): Promise<void> {
  const { bidscope } = { bidscope: 20 };
  for (let instance = hall; instance < bidscope; instance += 3) {
    const prefix = `bidscope-${String(instance + 1).padStart(2, "0")}`;
    await fleet.changeLeafs(prefix, { serviceTimeMs: 5 * factor });
  }
}

async function restartAll(fleet: Fleet): Promise<void> {
  for (const { box, dataCentre, entry, pool } of [...fleet.boxes]) {
    entry.signal("SIGTERM");
    pool.signal("SIGTERM");
    await Promise.all([entry.exited, pool.exited]);
    await fleet.addBox(box, dataCentre);
    await delay(500);
  }
}

const STRAGGLERS = { stragglers: { share: 0.01, factor: 20 } };
const NO_STRAGGLERS = { stragglers: { share: 0, factor: 1 } };

/** All scenarios, in the order they run. */
export const SCENARIOS: ReadonlyArray<Scenario> = [
  {
    name: "steady",
    description: `${STEADY_RATE} distinct queries per second`,
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", STEADY_RATE),
  },
  {
    name: "stragglers",
    description: "1% of leaf calls take 20 times as long",
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", STEADY_RATE),
    setUp: (fleet) => fleet.changeLeafs("bidscope", STRAGGLERS),
    tearDown: (fleet) => fleet.changeLeafs("bidscope", NO_STRAGGLERS),
  },
  {
    name: "gate closure",
    description: `${TRADER_COUNT} traders within ${BURST_MS} ms, ${DISTINCT_QUERY_COUNT} distinct queries`,
    service: "bidscope",
    hasNaive: true,
    load: [...gateClosure(500), ...gateClosure(2_500), ...gateClosure(4_500)],
  },
  {
    name: "frequency event",
    description: "urgent queries for the best rows, when idle and during a gate closure",
    service: "bidscope",
    hasNaive: true,
    load: [
      ...frequencyEvent("idle", 500),
      ...gateClosure(2_500),
      ...frequencyEvent("in burst", 2_500),
      ...gateClosure(4_500),
      ...frequencyEvent("in burst", 4_500),
    ],
  },
  {
    name: "customs check",
    description:
      "desk-api at 50 queries per second, high priority, 1% stragglers that take 20 times as long",
    service: "desk-api",
    hasNaive: true,
    load: steady("desk-api", STEADY_RATE, { priority: "high", deadlineMs: 300 }),
    setUp: (fleet) => fleet.changeLeafs("desk-api", STRAGGLERS),
    tearDown: (fleet) => fleet.changeLeafs("desk-api", NO_STRAGGLERS),
  },
  {
    name: "ledger",
    description:
      "payout-ledger at 100 queries per second, 1% stragglers that take 20 times as long",
    service: "payout-ledger",
    hasNaive: true,
    load: steady("payout-ledger", 2 * STEADY_RATE),
    setUp: (fleet) => fleet.changeLeafs("payout-ledger", STRAGGLERS),
    tearDown: (fleet) => fleet.changeLeafs("payout-ledger", NO_STRAGGLERS),
  },
  {
    name: "slow hall",
    description: "the leafs of one data centre take 5 times as long",
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", STEADY_RATE),
    setUp: (fleet) => setHallSlowdown(fleet, 1, 5),
    tearDown: (fleet) => setHallSlowdown(fleet, 1, 1),
  },
  {
    name: "drained and cold",
    description: "one server drains and another becomes cold during the run",
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", STEADY_RATE),
    actions: [
      {
        atMs: 2_000,
        run: async (fleet) => {
          await fleet.changeLeafs("bidscope-04", { state: "draining" });
          await fleet.changeLeafs("bidscope-09", { state: "cold" });
        },
      },
    ],
    tearDown: (fleet) => fleet.changeLeafs("bidscope-0", { state: "ready" }),
  },
  {
    name: "lying load reports",
    description: "one server refuses all calls and reports that it is ready",
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", STEADY_RATE),
    setUp: (fleet) =>
      fleet.changeLeafs("bidscope-14", { state: "draining", reportedState: "ready" }),
    tearDown: (fleet) =>
      fleet.changeLeafs("bidscope-14", { state: "ready", reportedState: undefined }),
  },
  {
    name: "platform down",
    description: "the platform is unreachable",
    service: "bidscope",
    hasNaive: false,
    load: steady("bidscope", STEADY_RATE),
    setUp: (fleet) => fleet.setPlatformFaults({ mode: "down" }),
    tearDown: (fleet) => fleet.setPlatformFaults({ mode: "up" }),
  },
  {
    name: "overload",
    description: "three times the capacity of the leafs, at 20 ms per call",
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", 300, { deadlineMs: 500 }),
    setUp: (fleet) => fleet.changeLeafs("bidscope", { serviceTimeMs: 20 }),
    tearDown: (fleet) => fleet.changeLeafs("bidscope", { serviceTimeMs: 5 }),
  },
  {
    name: "rolling restarts",
    description: "each box is stopped gracefully and replaced; callers refresh the address list",
    service: "bidscope",
    hasNaive: false,
    load: steadyLoad({
      service: "bidscope",
      kind: "steady",
      perSecond: 20,
      fromMs: 0,
      untilMs: 20_000,
      body: uniqueBody(),
    }),
    replacesEntries: true,
    actions: [{ atMs: 500, run: restartAll }],
  },
  {
    name: "replica lost",
    description: "one server fails during the run",
    service: "bidscope",
    hasNaive: true,
    load: steady("bidscope", STEADY_RATE),
    actions: [
      {
        atMs: 2_000,
        run: (fleet) => fleet.changeLeafs("bidscope-17", { misbehaviour: "hang up" }),
      },
    ],
    tearDown: (fleet) => fleet.changeLeafs("bidscope-17", { misbehaviour: "none" }),
  },
];
