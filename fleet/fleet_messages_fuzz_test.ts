import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { corruptedValue } from "../standins/corrupted_value.js";
import { decodeFleetMessage, type FleetMessage } from "./fleet_messages.js";

const MEMBER = [
  "box-1",
  "0a1b",
  1_700_000_000_000,
  3,
  "alive",
  "hall-a",
  "10.1.0.9",
  8106,
  8104,
  1,
];
const CRASHES = ["f_1", "suspected", 2, 0, 100, 50];
const MESSAGE = ["ask", 7, 12, 345, [MEMBER], [CRASHES]];

const CORRUPTED_MESSAGES = corruptedValue(MESSAGE, 40);

function isValid({ crashes, members, number, progress }: FleetMessage): boolean {
  const numbers = [number, progress.configurationVersion, progress.leafsRevision];
  const crashTexts = crashes.flatMap(({ changedAgoMs, fingerprint, lostLeafs, ...others }) => {
    numbers.push(changedAgoMs, lostLeafs, others.lostTrials, others.suspectedAgoMs);
    return [fingerprint, others.standing];
  });
  const memberTexts = members.flatMap(({ address, memberId, incarnation, ...others }) => {
    numbers.push(others.startedAtEpochMs, others.version, others.peerPort, others.callerPort);
    return [address, memberId, incarnation, others.state, others.dataCentre];
  });
  const areStrings = [...memberTexts, ...crashTexts].every((each) => typeof each === "string");
  return areStrings && numbers.every((each) => Number.isFinite(each));
}

t.test("decodeFleetMessage() returns a message with valid fields, or undefined", async (t) => {
  fc.assert(
    fc.property(CORRUPTED_MESSAGES, (data) => {
      const message = decodeFleetMessage(deflateRawSync(JSON.stringify(data)));
      return message === undefined || isValid(message);
    }),
    { numRuns: 3_000, seed: 29 },
  );
  t.pass("no message with an invalid field was accepted");
});

t.test("decodeFleetMessage() does not throw on arbitrary bytes", async (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const message = decodeFleetMessage(Buffer.from(bytes));
      return message === undefined || isValid(message);
    }),
    { numRuns: 3_000, seed: 29 },
  );
  t.pass("no bytes made it throw");
});
