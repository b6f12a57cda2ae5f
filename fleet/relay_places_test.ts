import t from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { RelayPlaces } from "./relay_places.js";

/** Two data centres in a region that has the name of one of them, and one in another region. */
const REGIONS: Readonly<Record<string, string>> = { a: "a", d: "a", b: "south" };

function member(memberId: string, dataCentre: string): Member {
  return sampleMember({ memberId, dataCentre, address: memberId });
}

const MEMBERS = [member("box-a", "a"), member("box-d", "d"), member("box-b", "b")];

const PLACES = new RelayPlaces({
  dataCentre: "d",
  regionOf: (dataCentre) => REGIONS[dataCentre] ?? dataCentre,
  servingBoxes: (region) => MEMBERS.filter(({ dataCentre }) => REGIONS[dataCentre] === region),
});

t.test("placeOf() returns undefined for a leaf of this data centre", async (t) => {
  t.equal(PLACES.placeOf({ dataCentre: "d" }), undefined);
  t.equal(PLACES.distance({ dataCentre: "d" }), "zone");
});

t.test(
  "a leaf of another data centre in the region is called through a box of that data centre",
  async (t) => {
    t.equal(PLACES.distance({ dataCentre: "a" }), "region");
    t.match(PLACES.boxesAt(PLACES.placeOf({ dataCentre: "a" }) ?? ""), [{ memberId: "box-a" }]);
  },
);

t.test("a leaf of another region is called through a box of that region", async (t) => {
  t.equal(PLACES.distance({ dataCentre: "b" }), "remote");
  t.match(PLACES.boxesAt(PLACES.placeOf({ dataCentre: "b" }) ?? ""), [{ memberId: "box-b" }]);
});
