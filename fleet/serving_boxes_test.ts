import t from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { servingBoxes } from "./serving_boxes.js";

function box(name: string, processorCores?: number): Member {
  const member = sampleMember({ memberId: name, dataCentre: "a", address: name });
  return processorCores === undefined ? member : { ...member, processorCores };
}

function names(members: ReadonlyArray<Member>): ReadonlyArray<string> {
  return members.map(({ memberId }) => memberId);
}

const SMALL = Array.from({ length: 16 }, (_, index) => box(`small-${index}`, 0.324));
const LARGE = Array.from({ length: 4 }, (_, index) => box(`large-${index}`, 1.35));

t.test("servingBoxes() selects all boxes of a small region", async (t) => {
  const few = [box("a"), box("b", 2), box("c")];
  t.same(servingBoxes(few), few);
});

t.test("servingBoxes() selects the largest boxes with half of the region's cores", async (t) => {
  t.same([...names(servingBoxes([...SMALL, ...LARGE]))].sort(), names(LARGE));
  t.equal(servingBoxes(SMALL).length, 8);
});

t.test("servingBoxes() does not depend on the order of the members", async (t) => {
  const members = [...SMALL, ...LARGE];
  t.same(names(servingBoxes(members)), names(servingBoxes(members.toReversed())));
});

t.test("servingBoxes() adds small boxes when large ones fail", async (t) => {
  const remaining = [...SMALL, ...LARGE.slice(0, 1)];
  const serving = names(servingBoxes(remaining));
  t.equal(serving[0], "large-0");
  t.ok(serving.length >= 4 && serving.length < remaining.length, serving.join());
});

t.test(
  "servingBoxes() excludes small boxes when large ones have a quarter of all cores",
  async (t) => {
    const large = Array.from({ length: 6 }, (_, index) => box(`large-${index}`, 1.35));
    const small = Array.from({ length: 59 }, (_, index) => box(`small-${index}`, 0.324));
    t.same([...names(servingBoxes([...small, ...large]))].sort(), names(large));
    const remaining = [...small, ...large.slice(0, 3)];
    const serving = names(servingBoxes(remaining));
    t.same(serving.slice(0, 3).toSorted(), names(large.slice(0, 3)), "the remaining large boxes");
    t.ok(
      serving.length > 6 && serving.length < 16,
      `small boxes are added: ${serving.length} serve`,
    );
  },
);
