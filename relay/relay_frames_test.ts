import fc from "fast-check";
import t from "tap";
import type { FailedPart, RelayedParts } from "../request/mod.js";
import { encodeRelayFrame, RelayFrameReader } from "./relay_frames.js";

const SERVICES = Array.from({ length: 12 }, (_, index) => `service ${index}`);

const SERVICE = fc.constantFrom(...SERVICES);

const PARTS: fc.Arbitrary<RelayedParts> = fc.record({
  signatures: fc
    .array(fc.tuple(SERVICE, fc.string({ maxLength: 30 })))
    .map((pairs) => new Map(pairs)),
  failed: fc
    .array(
      fc.tuple(
        SERVICE,
        fc.constantFrom<FailedPart>(
          "declined",
          "refused",
          "failed",
          "connection closed",
          "blocked",
        ),
      ),
    )
    .map((pairs) => new Map(pairs)),
  records: fc.uint8Array({ maxLength: 64 }).map((bytes) => Buffer.from(bytes)),
  queueMs: fc.nat(1_000),
});

t.test("frames are decoded as encoded, regardless of chunk boundaries", async (t) => {
  fc.assert(
    fc.property(fc.array(PARTS, { maxLength: 4 }), fc.integer({ min: 1, max: 50 }), (all, cut) => {
      const bytes = Buffer.concat(all.map((parts) => encodeRelayFrame(parts, SERVICES)));
      const reader = new RelayFrameReader(SERVICES);
      const read: Array<RelayedParts> = [];
      for (let at = 0; at < bytes.length; at += cut) {
        read.push(...reader.read(bytes.subarray(at, at + cut)));
      }
      const plain = (parts: RelayedParts) => ({
        signatures: [...parts.signatures],
        failed: [...parts.failed].toSorted(),
        records: parts.records.toString("hex"),
        queueMs: parts.queueMs,
      });
      t.same(read.map(plain), all.map(plain));
    }),
    { numRuns: 100, seed: 5 },
  );
});

t.test("arbitrary bytes yield parts of known services or an error", async (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      try {
        const read = new RelayFrameReader(SERVICES).read(Buffer.from(bytes));
        return read.every(({ signatures }) => {
          return [...signatures.keys()].every((service) => SERVICES.includes(service));
        });
      } catch (error) {
        return error instanceof Error;
      }
    }),
    { numRuns: 1_000, seed: 7 },
  );
  t.pass();
});

t.test("a frame above the maximum length is rejected before it is buffered", async (t) => {
  const lengths = Buffer.from([0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0]);
  t.throws(() => new RelayFrameReader(SERVICES).read(lengths), {
    message: /Cannot read a frame of/,
  });
});
