import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { spoiltValue } from "../standins/spoilt_value.js";
import { RelayFrameReader } from "./relay_frames.js";
import { decodeRelayRequest, encodeRelayRequest, type RelayRequest } from "./relay_request.js";

const REQUEST = ["r1", "GET", "/a/", ["Host", "h"], 5, 800];
const MERGED = ["merged", ...REQUEST, ["s1", "s2"], 40];
const SEPARATE = ["separate", ...REQUEST, ["s1", "s2"], ["l1", "l2"], "AAAA"];

const SPOILT = fc.oneof(spoiltValue(MERGED, 16), spoiltValue(SEPARATE, 16));

function areTexts(values: ReadonlyArray<unknown>): boolean {
  return values.every((value) => typeof value === "string");
}

function isWhole(order: RelayRequest): boolean {
  const { headers, leftMs, method, path, requestId, topRecords } = order;
  const hasPairs = headers.length % 2 === 0;
  const own = order.kind === "merged" ? [order.waitLimitMs] : [];
  const services =
    order.kind === "merged"
      ? order.services
      : order.calls.flatMap(({ service, leafId }) => [service, leafId]);
  const numbers = [leftMs, topRecords, ...own];
  const texts = [method, path, requestId, ...headers, ...services];
  return hasPairs && areTexts(texts) && numbers.every((each) => Number.isFinite(each));
}

t.test(
  "decodeOrder() gives an order whose fields are all what they should be, or none",
  async (t) => {
    fc.assert(
      fc.property(SPOILT, (data) => {
        const order = decodeRelayRequest(deflateRawSync(JSON.stringify(data)));
        return order === undefined || isWhole(order);
      }),
      { numRuns: 3_000, seed: 29 },
    );
    t.pass("no order of other types came through");
  },
);

t.test("decodeOrder() reads what encodeOrder() wrote", async (t) => {
  const request = {
    requestId: "r",
    method: "GET",
    path: "/",
    headers: [],
    topRecords: 1,
    leftMs: 9,
  };
  const order = { kind: "merged", ...request, services: ["s"], waitLimitMs: 3 } as const;
  t.same(decodeRelayRequest(encodeRelayRequest(order)), order);
});

t.test("a reader of frames holds no more than a frame, whatever bytes come", async (t) => {
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
  t.pass("each either waited for more or said what is wrong");
});
