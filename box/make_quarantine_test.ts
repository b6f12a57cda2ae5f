// Regression test: the one box that may send trial calls of a suspected query must be among the
// boxes that receive requests. Otherwise nothing ever clears a query that was suspected by mistake.
import t from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { type MakeQuarantineOptions, makeQuarantine } from "./_make_quarantine.js";

const QUERIES = 200;

/** Time after which only one box may send a suspected query, in milliseconds. */
const LATER_MS = 60_000;

const FLEET: ReadonlyArray<Member> = Array.from({ length: 195 }, (_, index) => {
  return { ...sampleMember({}), memberId: `box-${index}`, box: `box-${index}`, state: "alive" };
});
const SERVING = FLEET.slice(0, 18);

/** Returns the boxes that may send a query that crashed three leafs a minute ago. */
function boxesThatMaySend(fingerprint: string): ReadonlyArray<string> {
  return FLEET.filter(({ box }) => {
    const clock = { nowMs: 1_000 };
    const options = {
      box,
      nowMs: () => clock.nowMs,
      alive: () => FLEET,
      servingBoxes: () => SERVING,
      calls: () => ({ withdrawBlocked: () => undefined }),
      notifyBoxes: () => undefined,
      persist: () => undefined,
      telemetry: { event: () => undefined, quarantineChanges: { add: () => undefined } },
    };
    const quarantine = makeQuarantine(options as MakeQuarantineOptions);
    for (let crash = 0; crash < 3; crash++) {
      quarantine.recordCrash({ fingerprint, isTrial: false });
    }
    clock.nowMs += LATER_MS;
    return quarantine.permission(fingerprint) === "exclusive";
  }).map(({ box }) => box);
}

t.test("a suspected query is sent by exactly one box, which receives requests", async (t) => {
  const serving = new Set(SERVING.map(({ box }) => box));
  const misplaced = Array.from({ length: QUERIES }, (_, index) => `query-${index}`).filter(
    (query) => {
      const [only, ...others] = boxesThatMaySend(query);
      return only === undefined || others.length > 0 || !serving.has(only);
    },
  );
  t.equal(misplaced.length, 0);
});
