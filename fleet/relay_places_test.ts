import t from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { RelayPlaces } from "./relay_places.js";

/** Two data centres in a region that is called like one of them, and one elsewhere. */
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

t.test("placeOf() names no place for a leaf of the own data centre", async (t) => {
  t.equal(PLACES.placeOf({ dataCentre: "d" }), undefined);
  t.equal(PLACES.distance({ dataCentre: "d" }), "zone");
});

t.test("a leaf of the region's other data centre is asked through a box there", async (t) => {
  t.equal(PLACES.distance({ dataCentre: "a" }), "region");
  t.match(PLACES.boxesAt(PLACES.placeOf({ dataCentre: "a" }) ?? ""), [{ memberId: "box-a" }]);
});

t.test("a leaf of another region is asked through a box of that region", async (t) => {
  t.equal(PLACES.distance({ dataCentre: "b" }), "remote");
  t.match(PLACES.boxesAt(PLACES.placeOf({ dataCentre: "b" }) ?? ""), [{ memberId: "box-b" }]);
});
