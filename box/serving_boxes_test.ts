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

t.test("servingBoxes() names all boxes of a region with few", async (t) => {
  const few = [box("a"), box("b", 2), box("c")];
  t.same(servingBoxes(few), few);
});

t.test("servingBoxes() names the roomiest that hold half of the region's processors", async (t) => {
  t.same([...names(servingBoxes([...SMALL, ...LARGE]))].sort(), names(LARGE));
  t.equal(servingBoxes(SMALL).length, 8);
});

t.test("servingBoxes() is the same whatever the order of the members", async (t) => {
  const members = [...SMALL, ...LARGE];
  t.same(names(servingBoxes(members)), names(servingBoxes(members.toReversed())));
});

t.test("servingBoxes() turns to the others when roomy ones are gone", async (t) => {
  const left = [...SMALL, ...LARGE.slice(0, 1)];
  const serving = names(servingBoxes(left));
  t.equal(serving[0], "large-0");
  t.ok(serving.length >= 4 && serving.length < left.length, serving.join());
});
