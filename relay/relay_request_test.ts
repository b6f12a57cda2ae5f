import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { decodeRelayRequest, encodeRelayRequest, type RelayRequest } from "./relay_request.js";

const REQUEST = {
  requestId: "r",
  method: "GET",
  path: "/a?b=c",
  headers: ["Host", "h"],
  topRecords: 5,
  leftMs: 100,
} as const;

const REQUESTS: ReadonlyArray<RelayRequest> = [
  { ...REQUEST, kind: "merged", services: ["s1", "s2"], waitLimitMs: 30 },
  { ...REQUEST, kind: "separate", calls: [], minRecord: undefined },
  {
    ...REQUEST,
    kind: "separate",
    calls: [{ service: "s1", leafId: "i-1" }],
    minRecord: Buffer.alloc(16, 255),
  },
];

t.test("decodeRelayRequest() reverses encodeRelayRequest()", async (t) => {
  for (const request of REQUESTS) {
    t.same(decodeRelayRequest(encodeRelayRequest(request)), request);
  }
});

t.test("decodeRelayRequest() rejects invalid requests", async (t) => {
  for (const text of ["", "{}", "[]", "null", '["other","r","GET","/",[],1,1,[]]', '["merged"]']) {
    t.equal(decodeRelayRequest(Buffer.from(text)), undefined, text);
    t.equal(decodeRelayRequest(deflateRawSync(text)), undefined, `${text} deflated`);
  }
});

t.test("decodeRelayRequest() rejects input that inflates beyond the limit", async (t) => {
  t.equal(decodeRelayRequest(deflateRawSync(Buffer.alloc(64 * 1_048_576, " "))), undefined);
});

t.test("decodeRelayRequest() does not throw on arbitrary bytes", async (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), fc.boolean(), (bytes, isDeflated) => {
      const body = isDeflated ? deflateRawSync(Buffer.from(bytes)) : Buffer.from(bytes);
      return decodeRelayRequest(body) === undefined;
    }),
    { numRuns: 500, seed: 2 },
  );
  t.pass();
});
