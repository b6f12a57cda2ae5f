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

t.test(
  "servingBoxes() leaves small boxes out where roomy ones hold a quarter of all",
  async (t) => {
    const roomy = Array.from({ length: 6 }, (_, index) => box(`roomy-${index}`, 1.35));
    const small = Array.from({ length: 59 }, (_, index) => box(`little-${index}`, 0.324));
    t.same([...names(servingBoxes([...small, ...roomy]))].sort(), names(roomy));
    const left = [...small, ...roomy.slice(0, 3)];
    const serving = names(servingBoxes(left));
    t.same(
      serving.slice(0, 3).toSorted(),
      names(roomy.slice(0, 3)),
      "the roomy ones that are left",
    );
    t.ok(serving.length > 6 && serving.length < 16, `small ones join: ${serving.length} serve`);
  },
);
