import fc from "fast-check";
import t from "tap";
import { parseLeafAnswer } from "../backend/mod.js";
import { decodeObjects } from "../peer/mod.js";
import {
  parseBoxList,
  parseCatalogObject,
  parseQueryRequest,
  parseServiceConfig,
  parseShardMap,
} from "./schema.js";

const QUERY = { service: "bidscope", caller: "a", deadlineMs: 100 };

t.test("parseQueryRequest() names the invalid field in its error message", async (t) => {
  const faults: ReadonlyArray<readonly [object, string]> = [
    [{ ...QUERY, deadlineMs: 0 }, "deadlineMs"],
    [{ ...QUERY, deadlineMs: 1e99 }, "deadlineMs"],
    [{ ...QUERY, priority: "now" }, "priority"],
    [{ ...QUERY, wantedCoverage: 2 }, "wantedCoverage"],
    [{ ...QUERY, repeatable: false }, "ticket"],
    [{ ...QUERY, merge: { limitRows: -1 } }, "merge.limitRows"],
  ];
  for (const [data, field] of faults) {
    const error = parseQueryRequest(data)._unsafeUnwrapErr();
    t.equal(error.field, field);
    t.match(error.message, /^Cannot accept field "/);
  }
  t.match(parseQueryRequest({ ...QUERY, extra: 1 })._unsafeUnwrapErr().message, /extra/);
});

t.test(
  "parseQueryRequest() defaults rights to the caller, so that nothing is shared implicitly",
  async (t) => {
    t.equal(parseQueryRequest(QUERY)._unsafeUnwrap().rights, "a");
  },
);

t.test("the parsers accept arbitrary data without throwing", async (t) => {
  const parsers = [
    parseBoxList,
    parseCatalogObject,
    parseQueryRequest,
    parseServiceConfig,
    parseShardMap,
  ];
  fc.assert(
    fc.property(fc.anything(), (data) => {
      return parsers.every((parse) => parse(data).isErr() || typeof data === "object");
    }),
    { numRuns: 5_000, seed: 3 },
  );
  t.pass();
});

t.test(
  "decodeObjects() and parseLeafAnswer() accept arbitrary text without throwing",
  async (t) => {
    fc.assert(
      fc.property(fc.string(), fc.integer(), fc.json(), (text, statusCode, json) => {
        const answers = [text, json].map((each) =>
          parseLeafAnswer({ statusCode, headers: { "leaf-row-count": each }, text: each }),
        );
        decodeObjects([text, json]);
        return answers.every((answer) => answer.kind !== "answered");
      }),
      { numRuns: 5_000, seed: 4 },
    );
    t.pass();
  },
);

t.test(
  "parseLeafAnswer() reports a refusal only if the leaf states that the call has not run",
  async (t) => {
    const refusal = JSON.stringify({ reason: "overloaded", notRun: true, retryAfterMs: 3 });
    const withoutNotRun = JSON.stringify({ reason: "overloaded" });
    t.match(parseLeafAnswer({ statusCode: 503, headers: {}, text: refusal }), { kind: "refused" });
    t.match(parseLeafAnswer({ statusCode: 503, headers: {}, text: withoutNotRun }), {
      kind: "failed",
    });
    t.match(parseLeafAnswer({ statusCode: 500, headers: {}, text: refusal }), { kind: "failed" });
  },
);
