import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { ANY_REGION } from "../routing/mod.js";
import { corruptedValue } from "../standins/corrupted_value.js";
import { RelayFrameReader } from "./relay_frames.js";
import { decodeRelayRequest, encodeRelayRequest, type RelayRequest } from "./relay_request.js";

const REQUEST = ["r1", "GET", "/a/", ["Host", "h"], 5, 800];
const MERGED = ["merged", ...REQUEST, ["s1", "s2"], 40];
const SEPARATE = ["separate", ...REQUEST, ["s1", "s2"], ["l1", "l2"], "AAAA"];

/** The same with the size of a body. */
const WITH_BODY = [
  [...MERGED, 4],
  [...SEPARATE, 4],
];

const SPOILT = fc.oneof(
  ...[MERGED, SEPARATE, ...WITH_BODY].map((fields) => corruptedValue(fields, 17)),
);

function areStrings(values: ReadonlyArray<unknown>): boolean {
  return values.every((value) => typeof value === "string");
}

function isValid(request: RelayRequest): boolean {
  const { body, headers, leftMs, method, path, requestId, topRecords } = request;
  const hasBody = body === undefined || Buffer.isBuffer(body);
  const hasPairs = headers.length % 2 === 0;
  const own = request.kind === "merged" ? [request.waitLimitMs] : [];
  const services =
    request.kind === "merged"
      ? request.services
      : request.calls.flatMap(({ service, leafId }) => [service, leafId]);
  const numbers = [leftMs, topRecords, ...own];
  const texts = [method, path, requestId, ...headers, ...services];
  return hasBody && hasPairs && areStrings(texts) && numbers.every((each) => Number.isFinite(each));
}

t.test("decodeRelayRequest() returns a valid request or undefined", async (t) => {
  fc.assert(
    fc.property(SPOILT, (data) => {
      const request = decodeRelayRequest(deflateRawSync(JSON.stringify(data)));
      return request === undefined || isValid(request);
    }),
    { numRuns: 3_000, seed: 29 },
  );
  t.pass("no invalid request was accepted");
});

t.test("decodeRelayRequest() reverses encodeRelayRequest()", async (t) => {
  const common = {
    requestId: "r",
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    allowedRegions: ANY_REGION,
    topRecords: 1,
    leftMs: 9,
  };
  const request = { kind: "merged", ...common, services: ["s"], waitLimitMs: 3 } as const;
  t.same(decodeRelayRequest(encodeRelayRequest(request)), request);
});

t.test("a frame reader accepts arbitrary bytes without unexpected exceptions", async (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 20 }), (chunks) => {
      const reader = new RelayFrameReader(["s1", "s2"]);
      try {
        for (const chunk of chunks) {
          reader.read(Buffer.from(chunk));
        }
      } catch (error) {
        return error instanceof Error;
      }
      return true;
    }),
    { numRuns: 2_000, seed: 29 },
  );
  t.pass("each input was buffered or rejected with an error");
});
