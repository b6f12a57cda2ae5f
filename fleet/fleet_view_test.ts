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

/** Eight boxes in three regions, few enough in each that all of them watch the store. */
const MEMBERS = ["a1 a2 a3", "b1 b2 b3", "c1 c2"].flatMap((names, index) => {
  const dataCentre = [...REGIONS.keys()][index] ?? "";
  return names.split(" ").map((box) => memberOf(box, dataCentre));
});

function viewOf({ box, dataCentre }: Member, sinceLastContactMs = 0): FleetView {
  return new FleetView({
    settings: () => ({ box, dataCentre, regions: REGIONS, seeds: [], recoveryDeadlineMs: 4_000 }),
    members: () => MEMBERS,
    alive: () => MEMBERS,
    sinceLastContactMs: () => sinceLastContactMs,
  });
}

t.test(
  "updateRecipients() returns all boxes of the region and one of each other region",
  async (t) => {
    for (const member of MEMBERS) {
      const recipients = viewOf(member).updateRecipients();
      const local = MEMBERS.filter(({ dataCentre }) => dataCentre === member.dataCentre);
      const includesLocal = local.every((each) => each === member || recipients.includes(each));
      t.ok(includesLocal, `${member.box} notifies its region, including store watchers`);
      const regions = new Set(recipients.map(({ dataCentre }) => REGIONS.get(dataCentre)));
      t.equal(regions.size, 3, `${member.box} notifies the other regions`);
      t.equal(recipients.length, local.length - 1 + 2, "no redundant recipients");
    }
  },
);

t.test("an update reaches all boxes within two rounds", async (t) => {
  const [first] = MEMBERS;
  let informed = new Set(first === undefined ? [] : [first]);
  for (let round = 0; round < 2; round++) {
    informed = new Set([
      ...informed,
      ...[...informed].flatMap((member) => viewOf(member).updateRecipients()),
    ]);
  }
  t.equal(informed.size, MEMBERS.length);
});

// A disconnected box probes only one other box per second, so it marks many of them dead too late
// for callers.
t.test("resolveAddresses() returns only this box after a long disconnection", async (t) => {
  const [self] = MEMBERS;
  if (self === undefined) {
    throw new Error("Cannot test without a box");
  }
  t.equal(
    viewOf(self, 3_900).resolveAddresses("south").length,
    3,
    "other boxes while the last contact is recent",
  );
  t.same(viewOf(self, 4_100).resolveAddresses("south"), [
    { address: self.address, port: self.callerPort },
  ]);
});

t.test("resolveAddresses() falls back to allowed regions, then to all boxes", async (t) => {
  const [self] = MEMBERS;
  if (self === undefined) {
    throw new Error("Cannot test without a box");
  }
  const view = viewOf(self);
  t.equal(view.resolveAddresses("nowhere", ["east"]).length, 2);
  t.equal(view.resolveAddresses("south", ["east"]).length, 3, "boxes of the caller's region first");
  t.equal(view.resolveAddresses("nowhere").length, MEMBERS.length);
});

// A fleet of few large and many small boxes, of which 18 of 195 serve.
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
  return members.map((member) => viewAmong(members, member).slackShare().share);
}

function sumOf(shares: ReadonlyArray<number>): number {
  return shares.reduce((sum, share) => sum + share, 0);
}

t.test("slackShare() favours serving boxes, and the shares add up to 1", async (t) => {
  const shares = sharesAmong(LARGE_FLEET);
  t.ok(Math.abs(sumOf(shares) - 1) < 1e-9, `the shares add up to ${sumOf(shares)}`);
  t.ok((shares[0] ?? 0) > 0.04, `a serving box has ${shares[0]}; equal shares would be 0.005`);
  t.ok((shares.at(-1) ?? 0) > 0, "a box on standby has a share");
});

/**
 * Share of the slack that boxes use; see `extra_calls`. The remainder covers changes of the serving
 * boxes.
 */
const SLACK_USED = 0.56;

t.test("slack used by serving boxes that fail leaves room for their replacements", async (t) => {
  const failed = sharesAmong(LARGE_FLEET).filter((share) => share > 0.04);
  const remaining = LARGE_FLEET.filter(({ processorCores }) => processorCores === 0.324);
  t.equal(failed.length, 18);
  const used = (sumOf(failed) + sumOf(sharesAmong(remaining))) * SLACK_USED;
  t.ok(used <= 1, `${used} of the slack of one window is used`);
});

t.test("coldLeafCallers() includes boxes that are considered dead", async (t) => {
  const [self, ...others] = MEMBERS;
  if (self === undefined) {
    throw new Error("Cannot test without a box");
  }
  const dead = others.map((member): Member => ({ ...member, state: "dead" }));
  const disconnected = viewAmong([self, ...dead], self);
  t.same(disconnected.coldLeafCallers("hall-a"), viewOf(self).coldLeafCallers("hall-a"));
  t.same(
    viewAmong([self], self).coldLeafCallers("hall-a"),
    [],
    "empty while no other box is known",
  );
});
