import t from "tap";
import type { Member } from "../model/mod.js";
import { sampleMember } from "../standins/sample_member.js";
import { FleetView } from "./fleet_view.js";

const REGIONS = new Map([
  ["hall-a", "north"],
  ["hall-b", "south"],
  ["hall-c", "east"],
]);

function memberOf(box: string, dataCentre: string): Member {
  return { ...sampleMember({}), box, memberId: box, dataCentre, state: "alive" };
}

/** Eight boxes in three regions, so few in each that all of them watch the store. */
const MEMBERS = ["a1 a2 a3", "b1 b2 b3", "c1 c2"].flatMap((names, index) => {
  const dataCentre = [...REGIONS.keys()][index] ?? "";
  return names.split(" ").map((box) => memberOf(box, dataCentre));
});

function viewOf({ box, dataCentre }: Member, unheardForMs = 0): FleetView {
  return new FleetView({
    settings: () => ({ box, dataCentre, regions: REGIONS, seeds: [], recoveryDeadlineMs: 4_000 }),
    members: () => MEMBERS,
    alive: () => MEMBERS,
    sinceLastContactMs: () => unheardForMs,
  });
}

t.test("a box tells all near it and one of each other region of what it learns", async (t) => {
  for (const member of MEMBERS) {
    const told = viewOf(member).updateRecipients();
    const near = MEMBERS.filter(({ dataCentre }) => dataCentre === member.dataCentre);
    const isToldNear = near.every((each) => each === member || told.includes(each));
    t.ok(isToldNear, `${member.box} tells its region, watchers as well`);
    const regions = new Set(told.map(({ dataCentre }) => REGIONS.get(dataCentre)));
    t.equal(regions.size, 3, `${member.box} tells the other regions`);
    t.equal(told.length, near.length - 1 + 2, "no more than it must");
  }
});

t.test(
  "news of one box reaches all within two tellings, whoever the store turns away",
  async (t) => {
    const [first] = MEMBERS;
    let heard = new Set(first === undefined ? [] : [first]);
    for (let telling = 0; telling < 2; telling++) {
      heard = new Set([
        ...heard,
        ...[...heard].flatMap((member) => viewOf(member).updateRecipients()),
      ]);
    }
    t.equal(heard.size, MEMBERS.length);
  },
);

// What was seen by reading: a box that is cut off from all others asks one of them a second, so that of 60 boxes it still
// took most for alive a minute after they had ended, and named them to callers.
t.test("a box that has long heard no other names itself alone to callers", async (t) => {
  const [self] = MEMBERS;
  if (self === undefined) {
    throw new Error("Cannot test without a box");
  }
  t.equal(
    viewOf(self, 3_900).resolveAddresses("south").length,
    3,
    "others while its knowledge is young",
  );
  t.same(viewOf(self, 4_100).resolveAddresses("south"), [
    { address: self.address, port: self.callerPort },
  ]);
});

t.test(
  "the directory names boxes at home where none near the caller can be given work",
  async (t) => {
    const [self] = MEMBERS;
    if (self === undefined) {
      throw new Error("Cannot test without a box");
    }
    const view = viewOf(self);
    t.equal(view.resolveAddresses("nowhere", ["east"]).length, 2);
    t.equal(view.resolveAddresses("south", ["east"]).length, 3, "those near first");
    t.equal(view.resolveAddresses("nowhere").length, MEMBERS.length);
  },
);

// A fleet as it is in the load pattern of few roomy boxes: 18 of 195 take all requests.
const LARGE_FLEET = [...REGIONS.keys()].flatMap((dataCentre) => {
  return Array.from({ length: 65 }, (_, index) => {
    const processorCores = index < 6 ? 1.35 : 0.324;
    return { ...memberOf(`${dataCentre}-${index}`, dataCentre), processorCores };
  });
});

function viewAmong(members: ReadonlyArray<Member>, { box, dataCentre }: Member): FleetView {
  return new FleetView({
    settings: () => ({ box, dataCentre, regions: REGIONS, seeds: [], recoveryDeadlineMs: 4_000 }),
    members: () => members,
    alive: () => members,
    sinceLastContactMs: () => 0,
  });
}

function sharesAmong(members: ReadonlyArray<Member>): ReadonlyArray<number> {
  return members.map((member) => viewAmong(members, member).slackShare());
}

function sumOf(shares: ReadonlyArray<number>): number {
  return shares.reduce((sum, share) => sum + share, 0);
}

t.test(
  "what all boxes may spend lies where requests come in, and is shared out once",
  async (t) => {
    const shares = sharesAmong(LARGE_FLEET);
    t.ok(Math.abs(sumOf(shares) - 1) < 1e-9, `the shares come to ${sumOf(shares)}`);
    t.ok((shares[0] ?? 0) > 0.04, `a serving box has ${shares[0]}; of equal shares it had 0.005`);
    t.ok((shares.at(-1) ?? 0) > 0, "one that stands by can still make a call");
  },
);

/** Part of the slack that boxes use, as `extra_calls` has it: the rest covers changes of who serves. */
const SLACK_USED = 0.56;

t.test(
  "what those that serve have spent when they go leaves room for who takes over",
  async (t) => {
    const gone = sharesAmong(LARGE_FLEET).filter((share) => share > 0.04);
    const left = LARGE_FLEET.filter(({ processorCores }) => processorCores === 0.324);
    t.equal(gone.length, 18);
    const spent = (sumOf(gone) + sumOf(sharesAmong(left))) * SLACK_USED;
    t.ok(spent <= 1, `${spent} of what may be spent in one window`);
  },
);

t.test("boxes that seem to be dead keep their part of what cold leafs bear", async (t) => {
  const [self, ...others] = MEMBERS;
  if (self === undefined) {
    throw new Error("Cannot test without a box");
  }
  const dead = others.map((member): Member => ({ ...member, state: "dead" }));
  const cutOff = viewAmong([self, ...dead], self);
  t.same(cutOff.coldLeafCallers("hall-a"), viewOf(self).coldLeafCallers("hall-a"));
  t.same(viewAmong([self], self).coldLeafCallers("hall-a"), [], "none while no other is known");
});
