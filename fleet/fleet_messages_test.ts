import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import type { Member } from "../model/mod.js";
import { decodeFleetMessage, encodeFleetMessage, type FleetMessage } from "./fleet_messages.js";

const MEMBER: Member = {
  memberId: "box-1",
  incarnation: "0a1b2c3d4e5f",
  startedAtEpochMs: 1_700_000_000_000,
  version: 3,
  state: "alive",
  role: "entry",
  box: "box-1",
  dataCentre: "hall-a",
  address: "10.1.0.9",
  peerPort: 8106,
  callerPort: 8104,
};

const MESSAGE: FleetMessage = {
  kind: "ask",
  number: 7,
  progress: { configurationVersion: 12, leafsRevision: 345 },
  members: [
    { ...MEMBER, processorCores: 0.675 },
    { ...MEMBER, memberId: "box-2", box: "box-2" },
  ],
  crashes: [],
};

t.test("decodeFleetMessage() decodes the output of encodeFleetMessage()", async (t) => {
  t.same(decodeFleetMessage(encodeFleetMessage(MESSAGE)), MESSAGE);
});

t.test("ages of crash-inducing queries are rounded to milliseconds", async (t) => {
  const counts = { lostLeafs: 4, lostTrials: 2, suspectedAgoMs: 812.4, changedAgoMs: 3.6 };
  const crashes = [{ fingerprint: "f_1", standing: "quarantined", ...counts } as const];
  const decoded = decodeFleetMessage(encodeFleetMessage({ ...MESSAGE, crashes }));
  t.same(decoded?.crashes, [{ ...crashes[0], suspectedAgoMs: 812, changedAgoMs: 4 }]);
});

t.test("the size of the fleet is reported, with or without evacuations", async (t) => {
  const fleetSize = { generation: 3, boxCount: 62, totalWeight: 12.5 };
  const evacuations = { position: 5, dataCentres: ["hall-a"] };
  for (const message of [
    { ...MESSAGE, fleetSize },
    { ...MESSAGE, fleetSize, evacuations },
  ]) {
    t.match(decodeFleetMessage(encodeFleetMessage(message)), message);
  }
  t.equal(
    decodeFleetMessage(encodeFleetMessage({ ...MESSAGE, fleetSize }))?.evacuations,
    undefined,
  );
  for (const fields of [[0, 62, 1], [1, 0, 1], [1, 1e9, 1], [1, 2], [1, 2, 0], "x"]) {
    const data = deflateRawSync(JSON.stringify(["ask", 1, 1, 1, [], [], [0, []], fields]));
    t.equal(decodeFleetMessage(data), undefined, JSON.stringify(fields));
  }
});

t.test("decodeFleetMessage() ignores a crash with an unknown status", async (t) => {
  const crashes = [["f", "someday", 1, 1, 1, 1]];
  const data = deflateRawSync(JSON.stringify(["ask", 1, 1, 1, [], crashes]));
  t.same(decodeFleetMessage(data)?.crashes, []);
});

t.test("decodeFleetMessage() accepts a message without crashes", async (t) => {
  const data = deflateRawSync(JSON.stringify(["ask", 1, 1, 1, []]));
  t.same(decodeFleetMessage(data)?.crashes, []);
});

t.test("a message with many members is small", async (t) => {
  const members = Array.from({ length: 15 }, (_, index) => {
    const name = `box-${index}`;
    const incarnation = (index * 7919 * 104729).toString(16).padStart(12, "0");
    return { ...MEMBER, memberId: name, box: name, incarnation, address: `10.1.0.${index}` };
  });
  t.ok(encodeFleetMessage({ ...MESSAGE, members }).length < 700);
});

t.test("decodeFleetMessage() rejects data that is not a message", async (t) => {
  const invalidMessages = ["", "{}", "[]", "null", "[1,2,3]"].map((text) => deflateRawSync(text));
  const tooLong = deflateRawSync(`["ask",1,1,1,[]${" ".repeat(70_000)}]`);
  for (const data of [Buffer.from("garbage"), Buffer.alloc(0), tooLong, ...invalidMessages]) {
    t.equal(decodeFleetMessage(data), undefined);
  }
});

t.test("decodeFleetMessage() never throws on invalid bytes or JSON", async () => {
  const json = fc.json().map((text) => deflateRawSync(text));
  const bytes = fc.uint8Array({ maxLength: 400 }).map((data) => Buffer.from(data));
  fc.assert(
    fc.property(fc.oneof(bytes, json), (data) => {
      const message = decodeFleetMessage(data);
      return message === undefined || Array.isArray(message.members);
    }),
    { numRuns: 3_000, seed: 738 },
  );
});
