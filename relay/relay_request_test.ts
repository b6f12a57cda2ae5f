import { deflateRawSync, inflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { ANY_REGION } from "../routing/mod.js";
import { decodeRelayRequest, encodeRelayRequest, type RelayRequest } from "./relay_request.js";

const REQUEST = {
  allowedRegions: ANY_REGION,
  requestId: "r",
  method: "GET",
  path: "/a?b=c",
  headers: ["Host", "h"],
  body: undefined,
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

const BODIES: ReadonlyArray<Buffer> = [
  Buffer.alloc(0),
  Buffer.from([0xff, 0x00, 0xc3, 0x28]),
  deflateRawSync(Buffer.from("looks like fields")),
  Buffer.alloc(4 * 1_048_576, "x"),
];

t.test("a relay request carries the bytes of the caller's body", async (t) => {
  for (const request of REQUESTS) {
    for (const body of BODIES) {
      const decoded = decodeRelayRequest(encodeRelayRequest({ ...request, body }));
      t.ok(decoded?.body?.equals(body), `${request.kind} with ${body.length} bytes`);
      t.same({ ...decoded, body: undefined }, request);
    }
  }
});

// Guards against a box that relays a request to leafs outside its allowed regions, because its own
// configuration lacks the route.
t.test("a relay request carries the allowed regions", async (t) => {
  for (const regions of [[], ["north"], ["north", "south"]]) {
    const allowedRegions = { kind: "only", regions } as const;
    for (const body of [undefined, ...BODIES]) {
      for (const request of REQUESTS) {
        const restricted = { ...request, body, allowedRegions };
        t.same(decodeRelayRequest(encodeRelayRequest(restricted)), restricted);
      }
    }
  }
});

t.test("builds that do not know allowed regions reject a restricted request", async (t) => {
  const FIELD_COUNTS = { merged: 10, separate: 11 } as const;
  const allowedRegions = { kind: "only", regions: ["north"] } as const;
  for (const request of REQUESTS) {
    const fields = JSON.parse(
      inflateRawSync(encodeRelayRequest({ ...request, allowedRegions })).toString(),
    );
    t.equal(fields.length, FIELD_COUNTS[request.kind] + 1, request.kind);
  }
});

t.test("decodeRelayRequest() rejects a request that is shorter than its body", async (t) => {
  const fields = ["merged", "r", "POST", "/", [], 1, 1, [], 1, 1_000_000];
  t.equal(decodeRelayRequest(deflateRawSync(JSON.stringify(fields))), undefined);
});

t.test("builds that cannot relay a body see a field too many", async (t) => {
  // The number of fields that these builds accept; they ignore bytes after the deflated fields.
  const FIELD_COUNTS = { merged: 9, separate: 10 } as const;
  for (const request of REQUESTS) {
    for (const body of [undefined, ...BODIES]) {
      const fields = JSON.parse(
        inflateRawSync(encodeRelayRequest({ ...request, body })).toString(),
      );
      const extra = body === undefined ? 0 : 1;
      t.equal(fields.length, FIELD_COUNTS[request.kind] + extra, `${request.kind}`);
    }
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
