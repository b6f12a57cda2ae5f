import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import { spoiltValue } from "../standins/spoilt_value.js";
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

const SPOILT = spoiltValue(MESSAGE, 40);

function isWhole({ crashes, members, number, progress }: FleetMessage): boolean {
  const numbers = [number, progress.configurationVersion, progress.leafsRevision];
  const told = crashes.flatMap(({ changedAgoMs, fingerprint, lostLeafs, ...rest }) => {
    numbers.push(changedAgoMs, lostLeafs, rest.lostTrials, rest.suspectedAgoMs);
    return [fingerprint, rest.standing];
  });
  const texts = members.flatMap(({ address, memberId, incarnation, ...rest }) => {
    numbers.push(rest.startedAtEpochMs, rest.version, rest.peerPort, rest.callerPort);
    return [address, memberId, incarnation, rest.state, rest.dataCentre];
  });
  const areTexts = [...texts, ...told].every((each) => typeof each === "string");
  return areTexts && numbers.every((each) => Number.isFinite(each));
}

t.test(
  "decodeFleetMessage() gives a message whose fields are all what they should be, or none",
  async (t) => {
    fc.assert(
      fc.property(SPOILT, (data) => {
        const message = decodeFleetMessage(deflateRawSync(JSON.stringify(data)));
        return message === undefined || isWhole(message);
      }),
      { numRuns: 3_000, seed: 29 },
    );
    t.pass("no message of other types came through");
  },
);

t.test("decodeFleetMessage() survives any bytes", async (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const message = decodeFleetMessage(Buffer.from(bytes));
      return message === undefined || isWhole(message);
    }),
    { numRuns: 3_000, seed: 29 },
  );
  t.pass("no bytes broke it");
});
