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

const ORDERS: ReadonlyArray<RelayRequest> = [
  { ...REQUEST, kind: "merged", services: ["s1", "s2"], waitLimitMs: 30 },
  { ...REQUEST, kind: "separate", calls: [], minRecord: undefined },
  {
    ...REQUEST,
    kind: "separate",
    calls: [{ service: "s1", leafId: "i-1" }],
    minRecord: Buffer.alloc(16, 255),
  },
];

t.test("decodeOrder() reads what encodeOrder() wrote", async (t) => {
  for (const order of ORDERS) {
    t.same(decodeRelayRequest(encodeRelayRequest(order)), order);
  }
});

t.test("decodeOrder() turns away what is no order", async (t) => {
  for (const text of ["", "{}", "[]", "null", '["other","r","GET","/",[],1,1,[]]', '["merged"]']) {
    t.equal(decodeRelayRequest(Buffer.from(text)), undefined, text);
    t.equal(decodeRelayRequest(deflateRawSync(text)), undefined, `${text} deflated`);
  }
});

t.test("decodeOrder() turns away what would grow beyond bounds", async (t) => {
  t.equal(decodeRelayRequest(deflateRawSync(Buffer.alloc(64 * 1_048_576, " "))), undefined);
});

t.test("decodeOrder() never fails, whatever bytes come in", async (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), fc.boolean(), (bytes, isDeflated) => {
      const body = isDeflated ? deflateRawSync(Buffer.from(bytes)) : Buffer.from(bytes);
      return decodeRelayRequest(body) === undefined;
    }),
    { numRuns: 500, seed: 2 },
  );
  t.pass();
});
