// Of a fleet of 195 boxes 18 take all requests. The one box that may try a suspect later on was picked among all 195, so
// that for nine queries of ten it was one where no request comes in: an innocent query that had lost leafs, in a
// rack without power, was refused by all serving boxes for ten minutes.
import t from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { type MakeQuarantineOptions, makeQuarantine } from "./_make_quarantine.js";

const QUERIES = 200;

/** Time after which only one box may try a suspect, in milliseconds. */
const LATER_MS = 60_000;

const FLEET: ReadonlyArray<Member> = Array.from({ length: 195 }, (_, index) => {
  return { ...sampleMember({}), memberId: `box-${index}`, box: `box-${index}`, state: "alive" };
});
const SERVING = FLEET.slice(0, 18);

/** Tells which of the boxes may try a query that has lost three leafs a minute ago. */
function tryingBoxes(fingerprint: string): ReadonlyArray<string> {
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
    for (let lost = 0; lost < 3; lost++) {
      quarantine.recordCrash({ fingerprint, isTrial: false });
    }
    clock.nowMs += LATER_MS;
    return quarantine.permission(fingerprint) === "exclusive";
  }).map(({ box }) => box);
}

t.test("a suspect is tried by one box, and that is one where requests come in", async (t) => {
  const serving = new Set(SERVING.map(({ box }) => box));
  const misplaced = Array.from({ length: QUERIES }, (_, index) => `query-${index}`).filter(
    (query) => {
      const [only, ...others] = tryingBoxes(query);
      return only === undefined || others.length > 0 || !serving.has(only);
    },
  );
  t.equal(misplaced.length, 0);
});
