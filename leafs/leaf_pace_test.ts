import t from "tap";
import { expectedPace, notePace, USUAL_PACE } from "./leaf_pace.js";

t.test("a short slow spell is believed for a moment", async (t) => {
  const slow = notePace(USUAL_PACE, { factor: 4, nowMs: 1_000 });
  t.equal(expectedPace(slow, 1_200), 4);
  t.equal(expectedPace(slow, 1_300), 1);
});

t.test("what has lasted for a while is expected to last as long again", async (t) => {
  const first = notePace(USUAL_PACE, { factor: 11, nowMs: 1_000 });
  const second = notePace(first, { factor: 10, nowMs: 2_000 });
  t.equal(expectedPace(second, 2_900), 10);
  t.equal(expectedPace(second, 3_100), 1, "then the leaf is tried");
  const later = notePace(second, { factor: 11, nowMs: 9_000 });
  t.equal(expectedPace(later, 11_100), 1, "and it is tried every two seconds at least");
});

t.test("a leaf that is as usual again counts so at once", async (t) => {
  const slow = notePace(notePace(USUAL_PACE, { factor: 11, nowMs: 0 }), {
    factor: 11,
    nowMs: 2_000,
  });
  t.equal(expectedPace(notePace(slow, { factor: 1, nowMs: 2_100 }), 2_110), 1);
});

t.test("nonsense is believed within bounds", async (t) => {
  t.equal(notePace(USUAL_PACE, { factor: 0, nowMs: 1 }).factor, 0.2);
  t.equal(notePace(USUAL_PACE, { factor: 1e9, nowMs: 1 }).factor, 100);
});
