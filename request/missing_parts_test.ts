// Guards against answers that lack parts without telling whether a box or a leaf did not answer.
import t from "tap";
import { GATHER, RequestDriver } from "./_request_driver.js";
import { countMissingParts } from "./missing_parts.js";

t.test("missing parts are counted by what did not answer", async (t) => {
  const relayed = new RequestDriver(GATHER, { remote: true });
  t.same([...countMissingParts(relayed.state)], [["relay unanswered", 2]]);
  const direct = new RequestDriver(GATHER);
  t.same([...countMissingParts(direct.state)], [["leaf unanswered", 2]]);
  const signatures = new Map([["s1", "x"]]);
  const parts = { signatures, records: Buffer.alloc(16, 4), failed: new Map() };
  relayed.dispatch({ kind: "partsRelayed", attemptId: 1, parts });
  t.same([...countMissingParts(relayed.state)], [["relay unanswered", 1]]);
  const unserved = new RequestDriver(GATHER, { withoutLeafs: ["s2"] });
  t.same(
    [...countMissingParts(unserved.state)],
    [
      ["leaf unanswered", 1],
      ["failed", 1],
    ],
  );
});
