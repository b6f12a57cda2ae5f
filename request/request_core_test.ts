import t from "tap";
import type { Route } from "../routing/mod.js";
import { newRequest, stepRequest } from "./request_core.js";
import type {
  AttemptOutcome,
  LeafAnswer,
  RequestEffect,
  RequestEvent,
  RequestState,
  RequestWorld,
} from "./request_state.js";

const GATHER: Route = {
  name: "sweep",
  host: "h",
  prefix: "/a/",
  repeatable: true,
  timeoutMs: 1_000,
  aimMs: 100,
  priorityRank: 0,
  maxAttempts: 2,
  target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 0.5 },
};

const GATHER_MANY: Route = {
  ...GATHER,
  target: { kind: "gather", shards: ["s1", "s2", "s3", "s4"], topRecords: 2, leastShare: 0.5 },
};

const SINGLE: Route = {
  ...GATHER,
  target: { kind: "single", services: [{ service: "s1", weight: 1 }] },
};

const UNREPEATABLE: Route = { ...SINGLE, repeatable: false };

interface DriverOptions {
  readonly extraCalls?: number;
  readonly far?: boolean;
  /** Ends of the leafs' ids that lie in another region; "a" by default. */
  readonly relayedLeafs?: ReadonlyArray<string>;
  readonly finishShare?: number;
  /** Expected wait at each service's leafs, in milliseconds; none by default. */
  readonly queueMs?: Readonly<Record<string, number>>;
  /** Services that have no leaf. */
  readonly withoutLeafs?: ReadonlyArray<string>;
}

/** Drives one request: leafs are `<service>-a` and `<service>-b`, extra calls as many as told. */
class Driver {
  state: RequestState;
  effects: ReadonlyArray<RequestEffect> = [];
  nowMs = 0;
  extraCalls: number;
  readonly relayedLeafs: ReadonlyArray<string>;
  readonly withoutLeafs: ReadonlyArray<string>;
  readonly queueMs: Readonly<Record<string, number>>;
  leafs: ReadonlyArray<string> = ["a", "b"];
  /** Whether another region has a box to rely on. */
  hasBox = true;

  constructor(route: Route, options: DriverOptions = {}) {
    const {
      extraCalls = 10,
      far = false,
      relayedLeafs = far ? ["a"] : [],
      finishShare = 1,
    } = options;
    this.withoutLeafs = options.withoutLeafs ?? [];
    this.queueMs = options.queueMs ?? {};
    this.extraCalls = extraCalls;
    this.relayedLeafs = relayedLeafs;
    const terms = {
      requestId: "r",
      route,
      arrivedAtMs: 0,
      deadlineAtMs: 1_000,
      aimAtMs: 100,
      maxAttempts: route.maxAttempts,
      mostQueueMs: 50,
      finishShare,
    };
    const { target } = route;
    this.state = newRequest(terms, target.kind === "gather" ? target.shards : ["s1"]);
    this.take({ kind: "started" });
  }

  take(event: RequestEvent): ReadonlyArray<RequestEffect> {
    const world: RequestWorld = {
      nowMs: this.nowMs,
      chooseLeaf: (service, excluded) => {
        const leafs = this.withoutLeafs.includes(service) ? [] : this.leafs;
        const leafIds = leafs.map((leaf) => `${service}-${leaf}`);
        const leafId = leafIds.find((each) => !excluded.has(each));
        const isFar = this.relayedLeafs.some((end) => leafId?.endsWith(`-${end}`));
        const relayPlace = isFar ? "south" : undefined;
        const queueMs = this.queueMs[service] ?? 0;
        return leafId === undefined ? undefined : { leafId, expectedMs: 5, relayPlace, queueMs };
      },
      chooseBox: (region) => {
        return this.hasBox ? { box: `box in ${region}`, expectedMs: 5 } : undefined;
      },
      takeExtraCall: () => {
        this.extraCalls -= 1;
        return this.extraCalls >= 0;
      },
    };
    const next = stepRequest(this.state, event, world);
    this.state = next.state;
    this.effects = next.effects;
    return next.effects;
  }

  end(attemptId: number, outcome: AttemptOutcome): ReadonlyArray<RequestEffect> {
    return this.take({ kind: "attemptEnded", attemptId, outcome });
  }
}

function answered(statusCode: number, signature: string, first = 1): AttemptOutcome {
  return { kind: "answered", answer: leafAnswer(statusCode, signature, first) };
}

function leafAnswer(statusCode: number, signature: string, first: number): LeafAnswer {
  return { statusCode, headers: {}, signature, body: Buffer.alloc(16, first) };
}

function calls(effects: ReadonlyArray<RequestEffect>): ReadonlyArray<string> {
  return effects.flatMap((effect) => (effect.kind === "call" ? [effect.leafId] : []));
}

function replyOf(effects: ReadonlyArray<RequestEffect>) {
  return effects.flatMap((effect) => (effect.kind === "reply" ? [effect.reply] : []))[0];
}

t.test("a query asks one leaf of each shard and merges when all parts are in", async (t) => {
  const driver = new Driver(GATHER);
  t.same(calls(driver.effects), ["s1-a", "s2-a"]);
  t.equal(replyOf(driver.end(1, answered(200, "x", 3))), undefined);
  const reply = replyOf(driver.end(2, answered(200, "y", 9)));
  t.match(reply, { kind: "merged", signatures: ["x", "y"], missingParts: 0 });
  t.same(
    reply?.kind === "merged" && reply.records,
    Buffer.concat([Buffer.alloc(16, 9), Buffer.alloc(16, 3)]),
  );
});

t.test("a shard that is silent is asked a second time, within the budget", async (t) => {
  const driver = new Driver(GATHER, { extraCalls: 1 });
  driver.end(1, answered(200, "x"));
  driver.nowMs = 45;
  t.same(calls(driver.take({ kind: "timer", timer: "hedge" })), ["s2-b"]);
  const spent = new Driver(GATHER, { extraCalls: 0 });
  spent.nowMs = 45;
  t.same(calls(spent.take({ kind: "timer", timer: "hedge" })), []);
});

t.test("two answers for one shard count as one part", async (t) => {
  const driver = new Driver(GATHER);
  driver.nowMs = 45;
  driver.take({ kind: "timer", timer: "hedge" });
  t.equal(replyOf(driver.end(1, answered(200, "x"))), undefined);
  t.equal(replyOf(driver.end(3, answered(200, "x2"))), undefined);
  t.equal(driver.state.partsIn, 1);
});

t.test("past the aim the least share suffices, at once or when it comes in", async (t) => {
  const early = new Driver(GATHER);
  early.end(1, answered(200, "x"));
  t.match(replyOf(early.take({ kind: "timer", timer: "aim" })), {
    kind: "merged",
    missingParts: 1,
  });
  const late = new Driver(GATHER);
  t.equal(replyOf(late.take({ kind: "timer", timer: "aim" })), undefined);
  t.match(replyOf(late.end(2, answered(200, "y"))), { kind: "merged", missingParts: 1 });
});

t.test("a leaf's failure is no part, even with a signature", async (t) => {
  const driver = new Driver(GATHER);
  t.same(calls(driver.end(1, answered(500, "x"))), ["s1-b"]);
  t.equal(driver.state.partsIn, 0);
});

t.test("a query that cannot reach its least share is answered at once", async (t) => {
  const driver = new Driver({
    ...GATHER,
    target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 1 },
  });
  driver.end(1, { kind: "failed", sent: true, reason: "reset" });
  t.match(replyOf(driver.end(3, { kind: "failed", sent: true, reason: "reset" })), {
    kind: "failed",
  });
});

t.test("a request that must not run twice is not sent again once a byte went out", async (t) => {
  const driver = new Driver(UNREPEATABLE);
  const effects = driver.end(1, { kind: "failed", sent: true, reason: "reset" });
  t.same(calls(effects), []);
  t.match(replyOf(effects), { kind: "failed" });
  t.notOk(driver.effects.some((effect) => effect.kind === "wake"));
});

t.test("a request that has not run goes to another leaf, whatever its kind", async (t) => {
  const unsent = new Driver(UNREPEATABLE);
  t.same(calls(unsent.end(1, { kind: "failed", sent: false, reason: "refused" })), ["s1-b"]);
  const refused = new Driver(UNREPEATABLE);
  t.same(calls(refused.end(1, { kind: "refused", reason: "full" })), ["s1-b"]);
  t.match(replyOf(refused.end(2, { kind: "refused", reason: "full" })), { kind: "notRun" });
});

t.test("no request is told not to have run while an attempt may have", async (t) => {
  const driver = new Driver(UNREPEATABLE);
  t.match(replyOf(driver.take({ kind: "timer", timer: "deadline" })), {
    kind: "failed",
    reason: "deadline",
  });
});

t.test("a shard is never sent to more leafs than the route allows", async (t) => {
  const driver = new Driver({ ...SINGLE, maxAttempts: 1 });
  driver.nowMs = 45;
  t.same(calls(driver.take({ kind: "timer", timer: "hedge" })), []);
  t.same(calls(driver.end(1, { kind: "failed", sent: true, reason: "reset" })), []);
});

t.test("a success without a signature is never passed on", async (t) => {
  const driver = new Driver(UNREPEATABLE);
  t.match(replyOf(driver.end(1, answered(200, ""))), { kind: "failed" });
});

t.test("all calls are abandoned when the caller goes", async (t) => {
  const driver = new Driver(GATHER);
  const effects = driver.take({ kind: "callerGone" });
  t.same(
    effects.map(({ kind }) => kind),
    ["abandon", "abandon"],
  );
  t.same(calls(driver.end(1, answered(500, ""))), []);
});

t.test("shards whose leafs are far are asked through one box near them", async (t) => {
  const driver = new Driver(GATHER, { far: true });
  t.match(driver.effects, [
    { kind: "wake" },
    { kind: "wake" },
    { kind: "relay", box: "box in south", calls: [{ service: "s1" }, { service: "s2" }] },
    { kind: "wake", timer: "hedge" },
  ]);
  const parts = {
    signatures: new Map([
      ["s1", "x"],
      ["s2", "y"],
    ]),
    records: Buffer.alloc(16, 4),
    declined: [],
  };
  const reply = replyOf(driver.take({ kind: "partsRelayed", attemptId: 1, parts }));
  t.match(reply, { kind: "merged", signatures: ["x", "y"], missingParts: 0 });
});

t.test("relayed parts go before a part of the same shard, so that none counts twice", async (t) => {
  const driver = new Driver(GATHER, { far: true });
  driver.nowMs = 40;
  t.same(calls(driver.take({ kind: "timer", timer: "hedge" })), ["s1-b", "s2-b"]);
  driver.end(2, answered(200, "direct", 9));
  const signatures = new Map([["s1", "relayed"]]);
  const parts = { signatures, records: Buffer.alloc(16, 4), declined: [] };
  driver.take({ kind: "partsRelayed", attemptId: 1, parts });
  t.equal(driver.state.partsIn, 1);
  t.match(replyOf(driver.take({ kind: "timer", timer: "aim" })), {
    kind: "merged",
    signatures: ["relayed"],
    records: Buffer.alloc(16, 4),
  });
});

t.test("shards that another box could not get are asked for directly", async (t) => {
  const driver = new Driver(GATHER, { far: true });
  const signatures = new Map([["s1", "x"]]);
  const parts = { signatures, records: Buffer.alloc(16, 4), declined: [] };
  driver.take({ kind: "partsRelayed", attemptId: 1, parts });
  t.same(calls(driver.end(1, { kind: "failed", sent: true, reason: "part is missing" })), ["s2-b"]);
});

t.test("shards that another box declines go to another leaf at once, at no cost", async (t) => {
  const driver = new Driver(GATHER, { far: true, extraCalls: 0 });
  const parts = { signatures: new Map(), records: Buffer.alloc(0), declined: ["s2"] };
  t.same(calls(driver.take({ kind: "partsRelayed", attemptId: 1, parts })), ["s2-b"]);
});

t.test("the leaf that a box was to ask is asked again where no other is left", async (t) => {
  const missing = { kind: "failed", sent: true, reason: "part is missing" } as const;
  const alone = new Driver(GATHER, { far: true });
  alone.leafs = ["a"];
  alone.hasBox = false;
  t.same(calls(alone.end(1, missing)), ["s1-a", "s2-a"], "directly, without a box to rely on");
  const driver = new Driver(GATHER, { far: true });
  driver.leafs = ["a"];
  const leafs = [{ leafId: "s1-a" }, { leafId: "s2-a" }];
  t.match(driver.end(1, missing)[0], { kind: "askThrough", box: "box in south", calls: leafs });
});

t.test("a policy's share of the parts ends the wait before the aim", async (t) => {
  const driver = new Driver(GATHER, { finishShare: 0.5 });
  t.match(replyOf(driver.end(1, answered(200, "x"))), { kind: "merged", missingParts: 1 });
});

t.test(
  "second calls to far leafs go through one box there, which sends what still counts",
  async (t) => {
    const driver = new Driver(GATHER_MANY, { relayedLeafs: ["b"] });
    driver.end(1, answered(200, "one", 5));
    driver.end(2, answered(200, "two", 7));
    driver.nowMs = 40;
    const effects = driver.take({ kind: "timer", timer: "hedge" });
    t.match(effects[0], {
      kind: "askThrough",
      box: "box in south",
      calls: [
        { attemptId: 5, service: "s3", leafId: "s3-b" },
        { attemptId: 6, service: "s4", leafId: "s4-b" },
      ],
      leastRecord: Buffer.alloc(16, 5),
    });
    t.same(calls(effects), []);
    driver.end(5, answered(200, "three", 6));
    const reply = replyOf(driver.end(6, { ...answered(200, "four", 0) }));
    t.match(reply, { kind: "merged", missingParts: 0 });
  },
);

t.test("the floor counts no part that a box may still replace", async (t) => {
  const driver = new Driver(GATHER, { relayedLeafs: ["a"] });
  driver.nowMs = 40;
  driver.take({ kind: "timer", timer: "hedge" });
  driver.end(2, answered(200, "direct", 9));
  t.same(driver.state.shards[0]?.part?.signature, "direct");
  t.equal(driver.state.shards[0]?.open.length, 1, "the box's part of the shard may still come");
  driver.leafs = ["a", "b", "c"];
  const far = new Driver(GATHER, { relayedLeafs: ["a", "b", "c"] });
  far.leafs = ["a", "b", "c"];
  const parts = {
    signatures: new Map([["s1", "x"]]),
    records: Buffer.alloc(16, 9),
    declined: ["s2"],
  };
  const effects = far.take({ kind: "partsRelayed", attemptId: 1, parts });
  t.match(effects[0], { kind: "askThrough", leastRecord: undefined }, "one record of two is in");
});

t.test("nothing is sent where too many shards have no leaf, and the refusal is true", async (t) => {
  const most: Route = {
    ...GATHER,
    target: { kind: "gather", shards: ["s1", "s2"], topRecords: 2, leastShare: 0.9 },
  };
  const driver = new Driver(most, { withoutLeafs: ["s2"] });
  t.same(calls(driver.effects), []);
  t.match(replyOf(driver.effects), { kind: "notRun" });
  const fewer = new Driver(GATHER, { withoutLeafs: ["s2"] });
  t.same(calls(fewer.effects), ["s1-a"], "half of the parts suffice");
});

t.test("a query is refused at once where most leafs near have too long a queue", async (t) => {
  const driver = new Driver(GATHER_MANY, { queueMs: { s1: 80, s2: 60, s3: 90 } });
  const reply = replyOf(driver.effects);
  t.same(calls(driver.effects), [], "nothing is sent");
  t.equal(reply?.kind, "notRun");
  t.ok(
    reply?.kind === "notRun" && reply.retryAfterMs >= 300,
    "the caller learns when to come back",
  );
});

t.test("a query is sent where only a slow shard has too long a queue", async (t) => {
  const driver = new Driver(GATHER_MANY, { queueMs: { s1: 500, s2: 40, s3: 40 } });
  t.equal(calls(driver.effects).length, 4);
});

t.test("a query is refused for queues at leafs that a box elsewhere would ask", async (t) => {
  const relayedLeafs = ["a", "b"];
  const calm = new Driver(GATHER, { queueMs: { s1: 40, s2: 40 }, relayedLeafs });
  t.equal(replyOf(calm.effects), undefined);
  const busy = new Driver(GATHER, { queueMs: { s1: 60, s2: 60 }, relayedLeafs });
  t.equal(replyOf(busy.effects)?.kind, "notRun");
});

t.test(
  "a shard is not asked again for time where the other leaf's queue is too long",
  async (t) => {
    const driver = new Driver(GATHER_MANY, { queueMs: { s1: 60 } });
    driver.nowMs = 60;
    const hedged = calls(driver.take({ kind: "timer", timer: "hedge" }));
    t.same(hedged, ["s2-b", "s3-b", "s4-b"], "only the shards whose other leaf is free");
  },
);

t.test(
  "an answer withdraws the calls that are still open, as far as nothing was sent",
  async (t) => {
    const driver = new Driver(GATHER);
    driver.end(1, answered(200, "one"));
    const effects = driver.take({ kind: "timer", timer: "aim" });
    t.equal(replyOf(effects)?.kind, "merged");
    const withdrawn = effects.filter(({ kind }) => kind === "withdraw");
    t.same(withdrawn, [{ kind: "withdraw", attemptId: 2 }]);
  },
);
